package faults

const header = "# Fault matrix\n"
const breaksIntro = ""

var notProved []string
