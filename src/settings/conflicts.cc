// The rules between settings.
#include "settings/conflicts.h"

#include <algorithm>

namespace heathercross::settings {

namespace {

/// A rule: whether it is broken, the key to change, what it says, what would
/// do.
struct Rule {
  bool Broken_;
  const char *Section_;
  const char *Key_;
  std::string Found_;
  std::string Allowed_;
};

std::string inMillis(Millis M) { return std::to_string(M.count()) + " ms"; }

std::vector<Rule> rulesOfEntry(const Settings &S) {
  const EntrySection &E = S.Entry_;
  const std::string Peer = S.Peer_.Listen_.str();
  const bool OwnIsPeer = std::ranges::find(S.Peer_.Peers_, S.Peer_.Listen_) !=
                         S.Peer_.Peers_.end();
  return {
      {E.DrainDeadline_ < E.StopGrace_, "entry", "drain_deadline_ms",
       inMillis(E.DrainDeadline_),
       "at least stop_grace_ms, " + inMillis(E.StopGrace_)},
      {E.Listen_ == S.Peer_.Listen_, "peer", "listen", Peer,
       "another address than [entry] listen"},
      {E.Listen_ == S.Platform_.Address_, "platform", "address",
       S.Platform_.Address_.str(), "another address than [entry] listen"},
      {OwnIsPeer, "peer", "peers", Peer, "peers without [peer] listen"},
  };
}

std::vector<Rule> rulesOfDuties(const Settings &S) {
  const CommitteeSection &C = S.Committee_;
  const bool IsMember =
      std::ranges::find(C.Members_, C.Chair_) != C.Members_.end();
  return {
      {!IsMember, "committee", "chair", C.Chair_.str(),
       "one of [committee] members"},
      {S.Control_.Lease_ < 2 * S.Control_.Step_, "control", "lease_ms",
       inMillis(S.Control_.Lease_),
       "at least twice step_ms, " + inMillis(2 * S.Control_.Step_)},
      {S.Peer_.KeyFile_ == S.Access_.TokensFile_, "access", "tokens_file",
       S.Access_.TokensFile_, "another file than [peer] key_file"},
  };
}

} // namespace

std::vector<Problem> findConflicts(const Settings &S, const std::string &File) {
  auto Rules = rulesOfEntry(S);
  std::ranges::move(rulesOfDuties(S), std::back_inserter(Rules));
  std::vector<Problem> Problems;
  for (const Rule &R : Rules)
    if (R.Broken_)
      Problems.push_back({File, 0, R.Section_, R.Key_, ProblemKind::Conflicting,
                          R.Found_, R.Allowed_});
  return Problems;
}

} // namespace heathercross::settings
