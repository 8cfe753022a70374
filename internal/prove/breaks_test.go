package prove

// breaksOf names, for each failure, the deliberate breaks of TestChecksFindBreaks that
// show that its checks can fail.
var breaksOf = map[string][]string{}
