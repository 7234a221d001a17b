// Checks a configuration before it is sent, and compares it with the one in
// force.
#include "schedule/configuration-check.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <set>
#include <span>

namespace heathercross::schedule {

namespace {

using Findings = std::vector<ConfigurationFinding>;

std::string nameOf(const Route &R) { return "route " + R.Queue_.str(); }
std::string nameOf(const PoolSettings &P) { return "pool " + P.Pool_.str(); }
std::string nameOf(const accounts::Account &A) {
  return "account " + A.Id_.str();
}

std::span<const accounts::Account> accountsOf(const Configuration &C) {
  if (!C.Accounts_)
    return {};
  return C.Accounts_->accounts();
}

void findLeftOut(const char *Kind, std::size_t Listed, std::size_t Read,
                 Findings &Out) {
  if (Listed > Read)
    Out.push_back({Kind, std::to_string(Listed - Read) + " of " +
                             std::to_string(Listed) + " can't be read"});
}

/// Finds entries whose name an earlier one of the same kind has.
template <std::ranges::range Entries>
void findRepeated(const Entries &E, Findings &Out) {
  std::set<std::string> Names;
  for (const auto &Entry : E)
    if (!Names.insert(nameOf(Entry)).second)
      Out.push_back({nameOf(Entry), "is listed again"});
}

void findRouteProblems(const Configuration &C, Findings &Out) {
  std::set<PoolId> Pools;
  for (const PoolSettings &P : C.Pools_)
    Pools.insert(P.Pool_);
  for (auto R = C.Routes_.begin(); R != C.Routes_.end(); ++R) {
    const auto Hides = [&](const Route &Earlier) {
      return Earlier.Host_ == R->Host_ && Earlier.Prefix_ == R->Prefix_;
    };
    const auto Earlier = std::find_if(C.Routes_.begin(), R, Hides);
    if (Earlier != R)
      Out.push_back({nameOf(*R), "is hidden by " + nameOf(*Earlier) +
                                     ", which has the same host and prefix"});
    if (!Pools.contains(R->Settings_.Pool_))
      Out.push_back({nameOf(*R), "leads to pool " + R->Settings_.Pool_.str() +
                                     ", which isn't listed"});
  }
}

/// Whether a limit in any field is below what a task needs.
bool isBelow(const Resources &Limit, const Resources &Task) {
  const auto Below = [](std::int64_t Most, std::int64_t Needed) {
    return Most > 0 && Most < Needed;
  };
  return Below(Limit.CpuMilli_, Task.CpuMilli_) ||
         Below(Limit.MemoryMb_, Task.MemoryMb_) ||
         Below(Limit.Gpus_, Task.Gpus_);
}

void findAccountProblems(const Configuration &C,
                         const std::optional<Resources> &LargestTask,
                         Findings &Out) {
  std::map<access::TokenDigest, const accounts::Account *> Owners;
  for (const accounts::Account &A : accountsOf(C)) {
    if (A.Keys_.empty())
      Out.push_back({nameOf(A), "has no key"});
    std::set<std::string> Shared;
    for (const access::TokenDigest &Key : A.Keys_)
      if (const auto It = Owners.emplace(Key, &A).first; It->second != &A)
        Shared.insert(nameOf(*It->second));
    for (const std::string &Other : Shared)
      Out.push_back({nameOf(A), "shares a key with " + Other});
    if (A.hasLimit() && A.Weight_ == 0)
      Out.push_back({nameOf(A), "has a limit and a weight of 0"});
    if (LargestTask && isBelow(A.Limit_, *LargestTask))
      Out.push_back({nameOf(A), "has a limit below the largest task"});
  }
}

/// Calls Added, Removed and Changed for entries by their names. The first entry
/// of a name counts.
template <std::ranges::range Entries, typename Compare>
void compareEntries(const Entries &New, const Entries &Current, Compare Differs,
                    Findings &Out) {
  using Entry = std::ranges::range_value_t<Entries>;
  const auto ByName = [](const Entries &E) {
    std::map<std::string, const Entry *> Found;
    for (const Entry &Item : E)
      Found.emplace(nameOf(Item), &Item);
    return Found;
  };
  const auto Before = ByName(Current);
  const auto After = ByName(New);
  for (const auto &[Name, Item] : After) {
    const auto It = Before.find(Name);
    const std::string Text =
        It == Before.end() ? "added" : Differs(*Item, *It->second);
    if (!Text.empty())
      Out.push_back({Name, Text});
  }
  for (const auto &[Name, Item] : Before)
    if (!After.contains(Name))
      Out.push_back({Name, "removed"});
}

void append(std::string &Text, const std::string &Part) {
  Text += (Text.empty() ? "" : ", ") + Part;
}

std::string routeChange(const Route &New, const Route &Current) {
  std::string Text;
  if (New.Host_ != Current.Host_ || New.Prefix_ != Current.Prefix_)
    append(Text, "path changed");
  if (New.Settings_.Pool_ != Current.Settings_.Pool_)
    append(Text, "pool changed from " + Current.Settings_.Pool_.str() + " to " +
                     New.Settings_.Pool_.str());
  QueueSettings Settings = New.Settings_;
  Settings.Pool_ = Current.Settings_.Pool_;
  if (Settings != Current.Settings_ || New.Timeout_ != Current.Timeout_)
    append(Text, "settings changed");
  if (New.Public_ != Current.Public_)
    append(Text, New.Public_ ? "needs no key any more" : "needs a key now");
  return Text;
}

std::string accountChange(const accounts::Account &New,
                          const accounts::Account &Current) {
  const std::set After(New.Keys_.begin(), New.Keys_.end());
  const std::set Before(Current.Keys_.begin(), Current.Keys_.end());
  const auto CountMissing = [](const auto &From, const auto &In) {
    return std::ranges::count_if(
        From, [&](const auto &Key) { return !In.contains(Key); });
  };
  std::string Text;
  if (const auto Added = CountMissing(After, Before); Added > 0)
    append(Text, "keys added: " + std::to_string(Added));
  if (const auto Removed = CountMissing(Before, After); Removed > 0)
    append(Text, "keys removed: " + std::to_string(Removed));
  if (New.Weight_ != Current.Weight_)
    append(Text, "weight changed from " + std::to_string(Current.Weight_) +
                     " to " + std::to_string(New.Weight_));
  if (New.Limit_ != Current.Limit_)
    append(Text, "limit changed");
  return Text;
}

} // namespace

std::vector<ConfigurationFinding>
findProblems(const Configuration &C, const ListedEntries &Listed,
             const std::optional<Resources> &LargestTask) {
  Findings Out;
  const auto Accounts = accountsOf(C);
  findLeftOut("routes", Listed.Routes_, C.Routes_.size(), Out);
  findLeftOut("pools", Listed.Pools_, C.Pools_.size(), Out);
  findLeftOut("accounts", Listed.Accounts_, Accounts.size(), Out);
  findRepeated(C.Routes_, Out);
  findRepeated(C.Pools_, Out);
  findRepeated(Accounts, Out);
  findRouteProblems(C, Out);
  for (const QueueId &Queue : Listed.WithoutAttempts_)
    Out.push_back({"route " + Queue.str(), "allows no attempt of a task"});
  findAccountProblems(C, LargestTask, Out);
  return Out;
}

std::vector<ConfigurationFinding> findChanges(const Configuration &New,
                                              const Configuration &Current) {
  Findings Out;
  compareEntries(New.Routes_, Current.Routes_, routeChange, Out);
  compareEntries(
      New.Pools_, Current.Pools_,
      [](const PoolSettings &P, const PoolSettings &Before) -> std::string {
        if (P.Standby_ == Before.Standby_)
          return "";
        return P.Standby_ ? "is a standby pool now"
                          : "no standby pool any more";
      },
      Out);
  if (New.Accounts_.has_value() != Current.Accounts_.has_value())
    Out.push_back({"accounts", New.Accounts_ ? "calls need a key now"
                                             : "calls need no key any more"});
  compareEntries(accountsOf(New), accountsOf(Current), accountChange, Out);
  if (New.MaxBodyBytes_ != Current.MaxBodyBytes_)
    Out.push_back({"limits", "max_body_bytes changed from " +
                                 std::to_string(Current.MaxBodyBytes_) +
                                 " to " + std::to_string(New.MaxBodyBytes_)});
  return Out;
}

bool replaces(const Configuration &New, const Configuration &Current) {
  return New.Version_ > Current.Version_;
}

} // namespace heathercross::schedule
