package strict_test

import (
	"fmt"

	"github.com/endivechute/endivechute/strict"
)

func ExampleCheckHead() {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 000 Trouble\r\n\r\n"} {
		fmt.Println(strict.CheckHead([]byte(head)))
	}
	// Output:
	// <nil>
	// the status line "HTTP/1.1 000 Trouble" has no status from 100 to 599: malformed answer
}
