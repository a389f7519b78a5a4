package standtrouble

import "quetzalfront/internal/standin/standreplica"

// answers are the promises about answers, which any behaviour of an endpoint may break.
var answers = []Promise{WholeAnswer, NotRunIsTrue, AtMostOnce, Answered}

// table holds all troubles. The doses are those of the functions.
var table = []Trouble{
	{
		"failures with statuses that mean not run", ActorEndpoint,
		[]string{"run-failed"},
		"2 to 92 % of answers, 2 to 12 s", answers, 0,
		misbehaves(onlyBooks, standreplica.Limits, standreplica.TimesOut, standreplica.Busy),
	},
	{"failures", ActorEndpoint, []string{"run-failed"}, "2 to 92 % of answers, 2 to 12 s", answers, 0, misbehaves(bothServices, standreplica.Fails, standreplica.FailsLong)},
	{"refusals", ActorEndpoint, []string{"not-run"}, "2 to 92 % of answers, 2 to 12 s", answers, 0, misbehaves(bothServices, standreplica.Sheds)},
	{"answers without a signature", ActorEndpoint, []string{"unsigned"}, "2 to 92 % of answers, 2 to 12 s", answers, 0, misbehaves(bothServices, standreplica.Unsigned)},
	{"answers that break off", ActorEndpoint, []string{"truncated"}, "2 to 92 % of answers, 2 to 12 s", answers, 0, misbehaves(bothServices, standreplica.Truncates)},
	{"long answers that break off", ActorEndpoint, []string{"truncated"}, "2 to 92 % of answers, 2 to 12 s", answers, 0, misbehaves(onlyBooks, standreplica.TruncatesLong, standreplica.AnswersLong)},
	{"no answers", ActorEndpoint, []string{"no-answer"}, "2 to 92 % of answers, 2 to 12 s", answers, 0, misbehaves(bothServices, standreplica.Resets, standreplica.Hangs)},
	{
		"answers twice, or an earlier refusal once more", ActorEndpoint,
		[]string{"extra"},
		"2 to 92 % of answers, 2 to 12 s", answers, 0,
		misbehaves(bothServices, standreplica.Repeats, standreplica.ShedsAgain, standreplica.ShedsAgainUnnamed),
	},
	{"answers without a length", ActorEndpoint, []string{"no-length"}, "2 to 92 % of answers, 2 to 12 s", answers, 0, misbehaves(onlyChat, standreplica.CloseDelimited, standreplica.CutCloseDelimited)},
	{"silence", ActorEndpoint, []string{"silent"}, "half of a service, 3 times 0.3 to 1.2 s", answers, 0, playSilence},
	{"slow endpoints", ActorEndpoint, []string{"slow"}, "0.05 to 0.9 s a request, 3 to 10 s", answers, 0, playSlowness},
	{"the word of endpoints that leave", ActorEndpoint, []string{"leaving-word"}, "two in five of a service, never back", []Promise{LeavingIsSpared, ServesAgain}, 0, playLeavingWord},
	{"endpoints that drain", ActorEndpoint, []string{"draining"}, "two in five of a service, removed or draining", []Promise{LeavingIsSpared, ServesAgain}, 0, playDrain},
	{"pauses", ActorEndpoint, []string{"pause"}, "half of a service, 1 to 4 s", []Promise{ServesAgain, NotRunIsTrue}, 0, playPause},
	{"an address with another owner", ActorEndpoint, []string{"reused-address"}, "one, 2 to 8 s", answers, 0, playSuccessor},

	{"an outage of the store", ActorStore, []string{"store-silent", "lapse"}, "0.5 to 7 s, silent or refusing; rows lapse after 3.6 s", []Promise{ServesAgain, Answered}, 0, playStoreOutage},
	{"a slow store", ActorStore, []string{"late-write"}, "0 to 0.4 s a call, 20 lost answers, 20 late writes", []Promise{ServesAgain, Answered}, 0, playSlowStore},
	{"a restored store", ActorStore, []string{"restored"}, "0.5 to 8 s old", []Promise{ServesAgain, LeavingIsSpared, SmallExposure}, 0, playRestore},
	{"a store without history", ActorStore, []string{"history"}, "4 times", []Promise{ServesAgain}, 0, playLostHistory},

	{"odd rows", ActorWriter, []string{"odd-row"}, "8, and one in the place of an endpoint's", []Promise{ServesAgain, Answered}, 0, playOddRows},
	{"rows that are removed and written again", ActorWriter, []string{"lapse"}, "3 in 5 of a service, 5 times", []Promise{ServesAgain}, 0, playRewrites},

	{"a rollout", ActorOperator, []string{"bad-version"}, "good, or bad at once, later or under load", []Promise{SmallExposure, ServesAgain}, 4, playOrder},
	{"changes of the configuration", ActorOperator, []string{"change"}, "6 within 12 s", []Promise{Answered, ServesAgain}, 0, playChanges},

	{"the node that acted last is lost", ActorMachine, []string{"holder-killed"}, "killed, or cut off for 2 to 6 s", []Promise{SmallExposure, ServesAgain}, 3, playHolderLost},
	{"nodes are killed", ActorMachine, []string{"killed"}, "one to half of them at once", []Promise{ServesAgain}, 0, playKills},
	{"nodes are stopped in turn", ActorMachine, []string{"stopped"}, "all", []Promise{Answered, AtMostOnce, NotRunIsTrue}, 0, playRoll},
	{"a node pauses", ActorMachine, []string{"frozen"}, "0.3 to 4 s", []Promise{Answered, AtMostOnce, WorkEnds}, 0, playPauseOfNode},
	{"partitions", ActorMachine, []string{"partition", "cut-from-endpoints"}, "one node to half of them from endpoints, store, nodes or everything, 1 to 9 s", []Promise{ServesAgain, AtMostOnce}, 0, playPartition},
	{"connections are reset", ActorMachine, []string{"reset"}, "8 times", answers, 0, playResets},

	{"requests that crash endpoints", ActorCaller, []string{"crash-request", "same-name"}, "1 to 3, each 6 s, 42 s", []Promise{CrashesStop, ServesAgain}, 0, playCrash},
	{"callers leave", ActorCaller, []string{"left"}, "60 to 180", []Promise{WorkEnds}, 0, playLeavers},
	{"odd bytes of callers", ActorCaller, []string{"odd-caller"}, "30", []Promise{Answered, ServesAgain}, 0, playOddCallers},
}
