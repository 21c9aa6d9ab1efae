// Package gladeentry serves the OpenAI completions and chat APIs to callers.
package gladeentry
