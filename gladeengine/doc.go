// Package gladeengine is a client for model engines that serve the OpenAI completions API as vLLM does.
package gladeengine
