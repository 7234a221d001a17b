// Consistency rules that involve more than one setting.
#include "settings/conflicts.h"

#include <algorithm>

namespace heathercross::settings {

namespace {

/// The outcome of one consistency rule, with the key to report and the found
/// and allowed values shown in the error message.
struct Rule {
  bool Violated_;
  const char *Section_;
  const char *Key_;
  std::string Found_;
  std::string Allowed_;
};

std::string formatMillis(Millis M) { return std::to_string(M.count()) + " ms"; }

std::vector<Rule> entryRules(const Settings &S) {
  const EntrySection &E = S.Entry_;
  const std::string Peer = S.Peer_.Listen_.str();
  const bool ListsItself = std::ranges::find(S.Peer_.Peers_, S.Peer_.Listen_) !=
                           S.Peer_.Peers_.end();
  return {
      {E.DrainDeadline_ < E.StopGrace_, "entry", "drain_deadline_ms",
       formatMillis(E.DrainDeadline_),
       "at least stop_grace_ms, " + formatMillis(E.StopGrace_)},
      {E.Listen_ == S.Peer_.Listen_, "peer", "listen", Peer,
       "an address other than [entry] listen"},
      {E.Listen_ == S.Platform_.Address_, "platform", "address",
       S.Platform_.Address_.str(), "an address other than [entry] listen"},
      {ListsItself, "peer", "peers", Peer, "peers without [peer] listen"},
  };
}

std::vector<Rule> controlRules(const Settings &S) {
  const CommitteeSection &C = S.Committee_;
  const bool IsMember =
      std::ranges::find(C.Members_, C.Chair_) != C.Members_.end();
  return {
      {!IsMember, "committee", "chair", C.Chair_.str(),
       "one of [committee] members"},
      {S.Control_.Lease_ < 2 * S.Control_.Step_, "control", "lease_ms",
       formatMillis(S.Control_.Lease_),
       "at least twice step_ms, " + formatMillis(2 * S.Control_.Step_)},
      {S.Peer_.KeyFile_ == S.Access_.TokensFile_, "access", "tokens_file",
       S.Access_.TokensFile_, "a file other than [peer] key_file"},
  };
}

} // namespace

std::vector<Problem> findConflicts(const Settings &S, const std::string &File) {
  auto Rules = entryRules(S);
  std::ranges::move(controlRules(S), std::back_inserter(Rules));
  std::vector<Problem> Problems;
  for (const Rule &R : Rules)
    if (R.Violated_)
      Problems.push_back({File, 0, R.Section_, R.Key_, ProblemKind::Conflicting,
                          R.Found_, R.Allowed_});
  return Problems;
}

} // namespace heathercross::settings
