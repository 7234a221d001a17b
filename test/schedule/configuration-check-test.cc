// Tests of the check of a configuration before it is sent.
#include "schedule/configuration-check.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

Route route(const char *Queue, const char *Prefix, const char *Pool = "p") {
  Route R;
  R.Queue_ = QueueId(Queue);
  R.Prefix_ = Prefix;
  R.Settings_.Pool_ = PoolId(Pool);
  return R;
}

accounts::Account account(const char *Name, std::vector<std::string> Keys) {
  accounts::Account A;
  A.Id_ = AccountId(Name);
  A.Weight_ = 1;
  std::ranges::transform(Keys, std::back_inserter(A.Keys_), access::digestOf);
  return A;
}

Configuration configuration(std::vector<accounts::Account> Accounts = {}) {
  Configuration C;
  C.Version_ = 4;
  C.Routes_ = {route("a", "/a"), route("b", "/b")};
  C.Pools_ = {{PoolId("p"), false}};
  C.Accounts_.emplace(std::move(Accounts));
  return C;
}

ListedEntries listed(const Configuration &C) {
  return {C.Routes_.size(),
          C.Pools_.size(),
          C.Accounts_ ? C.Accounts_->accounts().size() : 0,
          {}};
}

std::vector<ConfigurationFinding> problems(const Configuration &C) {
  return findProblems(C, listed(C), std::nullopt);
}

void expectOne(const std::vector<ConfigurationFinding> &Found,
               const char *Entry, const char *Text) {
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Found.size());
  CPPUNIT_ASSERT_EQUAL(std::string(Entry), Found[0].Entry_);
  CPPUNIT_ASSERT_EQUAL(std::string(Text), Found[0].Text_);
}

/// A random configuration without problems.
Configuration randomConfiguration() {
  Configuration C;
  C.Pools_ = {{PoolId("p"), false}, {PoolId("q"), true}};
  const auto Routes = *rc::gen::inRange(0, 6);
  for (int I = 0; I < Routes; ++I) {
    const std::string Name = "r" + std::to_string(I);
    C.Routes_.push_back(
        route(Name.c_str(), ("/" + Name).c_str(), *rc::gen::element("p", "q")));
  }
  std::vector<accounts::Account> Accounts;
  const auto Count = *rc::gen::inRange(0, 4);
  for (int I = 0; I < Count; ++I) {
    const std::string Name = "t" + std::to_string(I);
    Accounts.push_back(account(Name.c_str(), {Name + "-1", Name + "-2"}));
  }
  C.Accounts_.emplace(std::move(Accounts));
  return C;
}

} // namespace

// The load: several configurations a minute, written by hand and by tools.
// Guards against entries that silently never apply.
HEATHERCROSS_STORY(ConfigurationProblems,
                   "entries that can't apply are found before they are sent") {
  CPPUNIT_ASSERT(problems(configuration({account("t", {"k"})})).empty());
  section("entries that were left out", [] {
    const Configuration C = configuration();
    ListedEntries L = listed(C);
    L.Routes_ += 2;
    expectOne(findProblems(C, L, std::nullopt), "routes",
              "2 of 4 can't be read");
    L = listed(C);
    ++L.Accounts_;
    expectOne(findProblems(C, L, std::nullopt), "accounts",
              "1 of 1 can't be read");
  });
  section("a hidden route", [] {
    Configuration C = configuration();
    C.Routes_[1].Prefix_ = "/a";
    expectOne(problems(C), "route b",
              "is hidden by route a, which has the same host and prefix");
    C.Routes_[1].Host_ = "b.example";
    CPPUNIT_ASSERT(problems(C).empty());
  });
  section("a route to a pool that isn't listed", [] {
    Configuration C = configuration();
    C.Routes_[1].Settings_.Pool_ = PoolId("other");
    expectOne(problems(C), "route b",
              "leads to pool other, which isn't listed");
  });
  section("a route without attempts", [] {
    const Configuration C = configuration();
    ListedEntries L = listed(C);
    L.WithoutAttempts_ = {QueueId("a")};
    expectOne(findProblems(C, L, std::nullopt), "route a",
              "allows no attempt of a task");
  });
  section("a name that is listed twice", [] {
    Configuration C = configuration();
    C.Pools_.push_back(C.Pools_[0]);
    expectOne(problems(C), "pool p", "is listed again");
  });
  section("accounts without keys, and with keys of others", [] {
    expectOne(problems(configuration({account("t", {})})), "account t",
              "has no key");
    expectOne(problems(configuration(
                  {account("t", {"k", "l"}), account("u", {"l", "m"})})),
              "account u", "shares a key with account t");
  });
  section("limits that contradict each other", [] {
    accounts::Account A = account("t", {"k"});
    A.Weight_ = 0;
    CPPUNIT_ASSERT(problems(configuration({A})).empty());
    A.Limit_ = {4000, 0, 0};
    expectOne(problems(configuration({A})), "account t",
              "has a limit and a weight of 0");
    A.Weight_ = 1;
    const Configuration C = configuration({A});
    CPPUNIT_ASSERT(
        findProblems(C, listed(C), Resources{4000, 1000, 0}).empty());
    expectOne(findProblems(C, listed(C), Resources{4001, 1000, 0}), "account t",
              "has a limit below the largest task");
  });
}

// The load: keys and limits are changed in one of many entries. Guards against
// changes that nobody meant, and against keys that are shown.
HEATHERCROSS_STORY(ConfigurationChanges,
                   "what a configuration changes is shown, without its keys") {
  const Configuration Before =
      configuration({account("t", {"k", "l"}), account("u", {"m"})});
  CPPUNIT_ASSERT(findChanges(Before, Before).empty());
  CPPUNIT_ASSERT(!replaces(Before, Before));
  section("keys are counted", [&] {
    const Configuration After =
        configuration({account("t", {"l", "n", "o"}), account("u", {"m"})});
    expectOne(findChanges(After, Before), "account t",
              "keys added: 2, keys removed: 1");
  });
  section("a limit and a weight", [&] {
    accounts::Account U = account("u", {"m"});
    U.Limit_ = {1000, 0, 0};
    U.Weight_ = 3;
    expectOne(findChanges(configuration({account("t", {"k", "l"}), U}), Before),
              "account u", "weight changed from 1 to 3, limit changed");
  });
  section("routes and pools", [&] {
    Configuration After = Before;
    After.Routes_[0].Settings_.Pool_ = PoolId("q");
    After.Routes_[0].Public_ = true;
    expectOne(findChanges(After, Before), "route a",
              "pool changed from p to q, needs no key any more");
    After = Before;
    After.Pools_[0].Standby_ = true;
    expectOne(findChanges(After, Before), "pool p", "is a standby pool now");
  });
  section("whether calls need keys", [&] {
    Configuration After = configuration();
    Configuration None = configuration();
    None.Accounts_.reset();
    expectOne(findChanges(After, None), "accounts", "calls need a key now");
  });
  HEATHERCROSS_PROPERTY("what one adds the reverse removes", [] {
    const Configuration A = randomConfiguration();
    const Configuration B = randomConfiguration();
    RC_ASSERT(problems(A).empty());
    RC_ASSERT(findChanges(A, A).empty());
    const auto Count = [](const auto &Found, const char *Text) {
      return std::ranges::count(Found, Text, &ConfigurationFinding::Text_);
    };
    const auto Forth = findChanges(B, A);
    const auto Back = findChanges(A, B);
    RC_ASSERT(Forth.size() == Back.size());
    RC_ASSERT(Count(Forth, "added") == Count(Back, "removed"));
  });
}
