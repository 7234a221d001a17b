// Tests of client accounts: which one a key identifies, and what it may see.
#include "accounts/account.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::accounts;
using heathercross::test::section;

namespace {

Account account(const char *Id, const std::vector<std::string> &Keys) {
  Account A;
  A.Id_ = AccountId(Id);
  for (const std::string &K : Keys)
    A.Keys_.push_back(access::digestOf(K));
  return A;
}

} // namespace

// Guards against calls that run with a key which no configuration contains.
HEATHERCROSS_STORY(AccountKeys, "a key identifies the account that lists it") {
  const AccountDirectory D(
      {account("mill", {"key-1", "key-2"}), account("farm", {"key-3"})});
  section("any of its keys", [&] {
    for (const char *Key : {"key-1", "key-2"}) {
      const Account *A = D.findByKey(Key);
      CPPUNIT_ASSERT(A && A->Id_ == AccountId("mill"));
    }
    CPPUNIT_ASSERT(D.findByKey("key-3")->Id_ == AccountId("farm"));
  });
  section("no other text, and no part of a key", [&] {
    for (const char *Key : {"", "key", "key-1 ", "KEY-1", "key-4"})
      CPPUNIT_ASSERT(!D.findByKey(Key));
  });
  section("an account without keys is known by its name only", [] {
    const AccountDirectory Keyless({account("mill", {})});
    CPPUNIT_ASSERT(!Keyless.findByKey(""));
    CPPUNIT_ASSERT(Keyless.find(AccountId("mill")));
    CPPUNIT_ASSERT(!Keyless.find(AccountId("farm")));
  });
}

// Guards against jobs that other accounts can see or cancel.
HEATHERCROSS_STORY(JobAccess, "a job is seen by its own account only") {
  const AccountId Mill("mill");
  CPPUNIT_ASSERT(mayAccess(Mill, Mill));
  CPPUNIT_ASSERT(!mayAccess(AccountId("farm"), Mill));
  section("a job or a call without an account needed no key", [&] {
    CPPUNIT_ASSERT(mayAccess(Mill, AccountId()));
    CPPUNIT_ASSERT(mayAccess(AccountId(), Mill));
  });
}
