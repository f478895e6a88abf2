//go:build race

package model

const raceDetector = true
