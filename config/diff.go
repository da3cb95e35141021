package config

import (
	"bytes"
	"encoding/json"
	"strings"
)

// diffLinesMax is the length in lines up to which texts are compared. Diff
// takes time and memory in proportion to the product of both lengths, so it
// shows longer texts as removed and added as a whole.
const diffLinesMax = 4000

// Indent formats the JSON with an indent of two spaces, the layout in which
// settings are shown, edited and compared. It returns invalid JSON unchanged.
func Indent(text []byte) []byte {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(text), "", "  "); err != nil {
		return text
	}
	out.WriteByte('\n')
	return out.Bytes()
}

// Diff returns the lines that differ between two JSON texts. Lines of before
// have the prefix "- " and lines of after have "+ ". The result is empty if the
// texts differ in white space only.
func Diff(before, after []byte) string {
	a := lines(before)
	b := lines(after)
	var out strings.Builder
	i, j := 0, 0
	if len(a) <= diffLinesMax && len(b) <= diffLinesMax {
		lcsLengths := lcsTable(a, b)
		for i < len(a) && j < len(b) {
			switch {
			case a[i] == b[j]:
				i++
				j++
			case lcsLengths[i+1][j] >= lcsLengths[i][j+1]:
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

// lcsTable returns a table whose element [i][j] is the length of the
// longest common subsequence of a[i:] and b[j:].
func lcsTable(a, b []string) [][]int32 {
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
