package record

import "strings"

// linesInSchema returns the lines of a record in a schema version, none for nil.
func linesInSchema(r *Record, s Schema) ([]string, error) {
	if r == nil {
		return nil, nil
	}
	in, err := r.Convert(s)
	if err != nil {
		return nil, err
	}
	return strings.Split(strings.TrimRight(in.text, "\n"), "\n"), nil
}

// diffLines returns the diff of two lists of lines by their longest common
// subsequence. The time and memory for that are quadratic, so it excludes the
// equal lines at both ends first; the rest of a record has at most a few
// thousand lines.
func diffLines(a, b []string) []DiffLine {
	var head, tail []DiffLine
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		head = append(head, DiffLine{" ", a[0]})
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		tail = append([]DiffLine{{" ", a[len(a)-1]}}, tail...)
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	longest := make([][]int, len(a)+1)
	for i := range longest {
		longest[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			longest[i][j] = max(longest[i+1][j], longest[i][j+1])
			if a[i] == b[j] {
				longest[i][j] = longest[i+1][j+1] + 1
			}
		}
	}
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			head = append(head, DiffLine{" ", a[i]})
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && longest[i+1][j] >= longest[i][j+1]:
			head = append(head, DiffLine{"-", a[i]})
			i++
		default:
			head = append(head, DiffLine{"+", b[j]})
			j++
		}
	}
	return append(head, tail...)
}
