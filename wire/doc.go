// Package wire holds the messages between the daemons and the twirp service that carries them. The generated files are
// committed, so a build needs no generator; buf.gen.yaml at the root has the plug-ins to generate them again.
package wire
