package config

import (
	"bytes"
	"encoding/json"
	"strings"
)

// diffLinesMax bounds the texts that are compared line by line; longer ones
// are shown whole.
const diffLinesMax = 4000

// Indent writes the JSON over lines of two spaces' indent, which is how
// settings are shown, edited and compared. Broken JSON is returned as it is.
func Indent(text []byte) []byte {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(text), "", "  "); err != nil {
		return text
	}
	out.WriteByte('\n')
	return out.Bytes()
}

// Diff returns the lines in which two JSON texts differ, those of before with
// "- " and those of after with "+ " in front. It is empty if they differ in
// white space only.
func Diff(before, after []byte) string {
	a := lines(before)
	b := lines(after)
	var out strings.Builder
	i, j := 0, 0
	if len(a) <= diffLinesMax && len(b) <= diffLinesMax {
		common := commonLengths(a, b)
		for i < len(a) && j < len(b) {
			switch {
			case a[i] == b[j]:
				i++
				j++
			case common[i+1][j] >= common[i][j+1]:
				out.WriteString("- " + a[i] + "\n")
				i++
			default:
				out.WriteString("+ " + b[j] + "\n")
				j++
			}
		}
	}
	for ; i < len(a); i++ {
		out.WriteString("- " + a[i] + "\n")
	}
	for ; j < len(b); j++ {
		out.WriteString("+ " + b[j] + "\n")
	}
	return out.String()
}

// commonLengths returns, for each pair of positions, the length of the longest
// common subsequence of the lines from there on.
func commonLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

func lines(text []byte) []string {
	trimmed := strings.TrimSuffix(string(Indent(text)), "\n")
	if trimmed == "" {
		return nil
	}
	return strings.Split(trimmed, "\n")
}
