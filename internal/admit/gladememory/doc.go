// Package gladememory decides how much memory and how many connections callers may occupy, and whose request makes room for another.
package gladememory
