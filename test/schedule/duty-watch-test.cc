// Tests of claims to duties: which entry claims one, and when.
#include "schedule/duty-watch.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

const PoolId Quotes("quotes");

StoredHolder holder(const std::string &Entry, std::uint64_t Version) {
  return {{EntryId(Entry), "10.0.0.2:7060", Epoch(1), Version},
          RowVersion(Version)};
}

/// Polls every 0.35 s for the given time; returns the first claim, if any.
std::optional<Claim> poll(DutyWatch &W, Instant &Now, Micros For,
                          std::size_t Held = 0) {
  for (const Instant End = Now + For; Now < End; Now += Millis(350)) {
    W.polled(Now);
    if (auto Claimed = W.nextClaim(Held, Now))
      return Claimed;
  }
  return std::nullopt;
}

} // namespace

HEATHERCROSS_STORY(VacantDuties,
                   "vacant duties are taken over and distributed evenly") {
  Instant Now{Seconds(10)};
  DutyWatch W(EntryId("e1"), 1);
  W.addPools({Quotes, PoolId("bookings")}, Now);
  section("an entry without duties soon claims one", [&] {
    const auto Claimed = poll(W, Now, Seconds(1));
    CPPUNIT_ASSERT(Claimed && Claimed->Epoch_ == Epoch(1) &&
                   Claimed->Version_ == RowVersion());
  });
  section("also that of a pool which only a holder row names", [&] {
    DutyWatch Restarted(EntryId("e2"), 1);
    Instant RestartedNow{Seconds(10)};
    const PoolId Removed("archive");
    Restarted.holderRead(Removed, {{EntryId(), "", Epoch(4), 7}, RowVersion(9)},
                         RestartedNow);
    const auto Claimed = poll(Restarted, RestartedNow, Seconds(1));
    CPPUNIT_ASSERT(Claimed && Claimed->Pool_ == Removed &&
                   Claimed->Epoch_ == Epoch(5));
  });
  section("it waits longer when it has many", [&] {
    DutyWatch Busy(EntryId("e2"), 1);
    Instant BusyNow{Seconds(10)};
    Busy.addPools({Quotes}, BusyNow);
    CPPUNIT_ASSERT(!poll(Busy, BusyNow, Millis(900), 4));
    CPPUNIT_ASSERT(poll(Busy, BusyNow, Seconds(1), 4).has_value());
  });
  section("one with little processor time lets a faster one go first", [&] {
    for (const char *SlowId : {"e3", "e4", "e5"})
      for (const char *FastId : {"e6", "e7", "e8"}) {
        DutyWatch Slow(EntryId(SlowId), 2);
        DutyWatch Fast(EntryId(FastId), 0.5);
        Instant SlowNow{Seconds(10)};
        Instant FastNow{Seconds(10)};
        Slow.addPools({Quotes}, SlowNow);
        Fast.addPools({Quotes}, FastNow);
        CPPUNIT_ASSERT(poll(Slow, SlowNow, Seconds(5)).has_value());
        CPPUNIT_ASSERT(poll(Fast, FastNow, Seconds(5), 2).has_value());
        CPPUNIT_ASSERT(FastNow < SlowNow);
      }
  });
}

HEATHERCROSS_STORY(UnresponsiveHolders,
                   "a duty is taken over from a silent holder only") {
  Instant Now{Seconds(10)};
  DutyWatch W(EntryId("e1"), 1);
  W.addPools({Quotes}, Now);
  section("not while its row changes", [&] {
    for (std::uint64_t V = 5; V < 15; ++V) {
      W.holderRead(Quotes, holder("e2", V), Now);
      CPPUNIT_ASSERT(!poll(W, Now, Millis(700)));
    }
  });
  section("not during an outage of the store, when nothing can be read", [&] {
    Now += Seconds(6);
    CPPUNIT_ASSERT(!W.nextClaim(0, Now));
    CPPUNIT_ASSERT(!poll(W, Now, Millis(1400)));
    W.holderRead(Quotes, holder("e2", 20), Now);
  });
  section("but under the next epoch, once updates cease", [&] {
    const Instant Since = Now;
    const auto Claimed = poll(W, Now, Seconds(4));
    CPPUNIT_ASSERT(Claimed && Claimed->Epoch_ == Epoch(2) &&
                   Claimed->Version_ == RowVersion(20));
    CPPUNIT_ASSERT(Now - Since >= Millis(1800));
    CPPUNIT_ASSERT(Now - Since <= Millis(2500));
  });
  section("a store that takes no writes delays every claim", [&] {
    W.claimRefused(Now);
    CPPUNIT_ASSERT(!poll(W, Now, Millis(1400)));
    CPPUNIT_ASSERT(poll(W, Now, Seconds(2)).has_value());
  });
  section("sooner if nobody listens at its address", [&] {
    W.holderRead(Quotes, holder("e2", 25), Now);
    const Instant Since = Now;
    W.holderUnreachable(Quotes);
    CPPUNIT_ASSERT(poll(W, Now, Seconds(3)).has_value());
    CPPUNIT_ASSERT(Now - Since >= Millis(800));
    CPPUNIT_ASSERT(Now - Since <= Millis(1500));
  });
  section("at once by the machine that held it before it started again", [&] {
    DutyWatch Restarted(EntryId("e2/200"), 1);
    Restarted.addPools({Quotes}, Now);
    Restarted.holderRead(Quotes, holder("e2/100", 27), Now);
    const Instant Since = Now;
    CPPUNIT_ASSERT(poll(Restarted, Now, Seconds(1), 3).has_value());
    CPPUNIT_ASSERT(Now - Since <= Millis(400));
  });
  section("a holder doesn't claim its own duty", [&] {
    W.holderRead(Quotes, holder("e1", 30), Now);
    W.begun(Quotes, Epoch(1));
    CPPUNIT_ASSERT(!poll(W, Now, Seconds(5)));
  });
  section("but the next epoch, once it has ended there", [&] {
    W.ended(Quotes, Now);
    const auto Claimed = poll(W, Now, Seconds(2));
    CPPUNIT_ASSERT(Claimed && Claimed->Cause_ == ClaimCause::OwnEnd &&
                   Claimed->Epoch_ == Epoch(2) &&
                   Claimed->Version_ == RowVersion(30));
  });
}

// Guards against a task that runs twice: a successor counted on leases as the
// former holder asked for them, not on the longest one that a worker grants.
HEATHERCROSS_STORY(FormerHolderLeases,
                   "a successor knows when the former holder's leases have "
                   "ended at the latest") {
  const Millis Longest(10'000);
  const auto ClaimOf = [](const char *Self, const EntryId &Former,
                          Instant &Now) {
    DutyWatch W(EntryId(Self), 1);
    W.holderRead(Quotes, {{Former, "", Epoch(1), 7}, RowVersion(9)}, Now);
    const auto Claimed = poll(W, Now, Seconds(4));
    CPPUNIT_ASSERT(Claimed.has_value());
    return *Claimed;
  };
  const auto LeasesEnd = [&](const Claim &C, Instant Now) {
    HeldDuty D;
    D.FormerActsUntil_ = C.FormerActsUntil_;
    return D.formerLeasesEnd(Now, Longest);
  };
  const Instant Seen(Seconds(10));
  Instant Now = Seen;
  section("one that gave the duty back had granted its last lease before", [&] {
    const Claim C = ClaimOf("e1/2", EntryId(), Now = Seen);
    CPPUNIT_ASSERT(LeasesEnd(C, Now) == Seen + Longest);
  });
  section("one that doesn't renew its row acts for a while", [&] {
    const Claim C = ClaimOf("e1/2", EntryId("e2/1"), Now = Seen);
    CPPUNIT_ASSERT(Now > Seen);
    CPPUNIT_ASSERT(LeasesEnd(C, Now) == Seen + MaxRenewalAge + Longest);
  });
  section("the process that this one replaces has ended", [&] {
    const Claim C = ClaimOf("e1/2", EntryId("e1/1"), Now = Seen);
    CPPUNIT_ASSERT(LeasesEnd(C, Now) == Now + Longest);
  });
  section("if nothing is known, it may still act", [&] {
    CPPUNIT_ASSERT(HeldDuty().formerLeasesEnd(Now, Longest) ==
                   Now + MaxRenewalAge + Longest);
  });
}

// Guards against a task that runs twice: the holder before the last one grants
// leases until it notices that its row was taken.
HEATHERCROSS_STORY(EarlierHolderLeases,
                   "a successor counts on the holder before the last one") {
  const auto ActsUntil = [](const StoredHolder &Last) {
    Instant Now(Seconds(10));
    DutyWatch W(EntryId("e3/2"), 1);
    W.holderRead(Quotes, {{EntryId("e1/1"), "", Epoch(1), 7}, RowVersion(9)},
                 Now);
    Now += Millis(1800);
    W.holderRead(Quotes, {{EntryId("e2/1"), "", Epoch(2), 0}, RowVersion(10)},
                 Now);
    Now += Millis(200);
    W.holderRead(Quotes, Last, Now);
    const auto Claimed = poll(W, Now, Seconds(4));
    CPPUNIT_ASSERT(Claimed.has_value());
    return Claimed->FormerActsUntil_;
  };
  const Instant FirstActsUntil = Instant(Seconds(10)) + MaxRenewalAge;
  section("if the last one gave the duty back soon", [&] {
    CPPUNIT_ASSERT(ActsUntil({{EntryId(), "", Epoch(2), 1}, RowVersion(11)}) >=
                   FirstActsUntil);
  });
  section("if the last one was an earlier process of this entry", [&] {
    CPPUNIT_ASSERT(ActsUntil({{EntryId("e3/1"), "", Epoch(3), 0},
                              RowVersion(11)}) >= FirstActsUntil);
  });
}

// Guards against a small entry that holds the duty again after a loss of all
// power: it started 150 to 550 tasks a second while larger entries were idle.
HEATHERCROSS_STORY(SmallEntryRestart,
                   "a small entry that restarts lets larger ones go first") {
  const StoredHolder Former{{EntryId("e1/1"), "", Epoch(3), 7}, RowVersion(9)};
  const StoredHolder Vacant{{EntryId(), "", Epoch(3), 8}, RowVersion(10)};
  const double SmallFactor = 0.25 / 0.12;
  const Millis Longest(10'000);
  Instant Now(Seconds(10));
  DutyWatch Small(EntryId("e1/2"), SmallFactor);
  Small.holderRead(Quotes, Former, Now);
  PoolId Released;
  section("it releases the duty before the first claim", [&] {
    CPPUNIT_ASSERT(!Small.nextRelease(Released, Now));
    CPPUNIT_ASSERT(!poll(Small, Now, Seconds(2)));
    const auto Row = Small.nextRelease(Released, Now);
    CPPUNIT_ASSERT(Row && Released == Quotes && Row->Version_ == RowVersion(9));
  });
  const Instant ReleasedAt = Now;
  section("a larger one claims it within 0.5 s", [&] {
    for (const char *Id : {"e5/1", "e6/1", "e7/1"}) {
      DutyWatch Large(EntryId(Id), 0.5);
      Large.holderRead(Quotes, Former, ReleasedAt - Millis(300));
      Large.polled(ReleasedAt);
      Large.holderRead(Quotes, Vacant, ReleasedAt);
      CPPUNIT_ASSERT(Large.nextReleasedClaim(0, ReleasedAt + Millis(100)));
    }
  });
  section("without a larger one it claims within 1.7 s", [&] {
    Small.holderRead(Quotes, Vacant, Now);
    CPPUNIT_ASSERT(!Small.nextRelease(Released, Now));
    CPPUNIT_ASSERT(!poll(Small, Now, Millis(800)));
    const auto Claimed = poll(Small, Now, Millis(900));
    CPPUNIT_ASSERT(Claimed && Claimed->Epoch_ == Epoch(4) &&
                   Claimed->Version_ == RowVersion(10));
    HeldDuty D;
    D.FormerActsUntil_ = Claimed->FormerActsUntil_;
    CPPUNIT_ASSERT(D.formerLeasesEnd(Now, Longest) >= ReleasedAt + Longest);
  });
  section("an entry of the usual size claims at once, as before", [&] {
    DutyWatch Usual(EntryId("e1/2"), 1);
    Usual.holderRead(Quotes, Former, Now);
    CPPUNIT_ASSERT(poll(Usual, Now, Millis(400)).has_value());
    CPPUNIT_ASSERT(!Usual.nextRelease(Released, Now));
  });
  section("so does a small one, for a duty that it must keep", [&] {
    DutyWatch Keeping(EntryId("e1/2"), SmallFactor, {Quotes});
    Keeping.holderRead(Quotes, Former, Now);
    CPPUNIT_ASSERT(poll(Keeping, Now, Millis(400)).has_value());
    CPPUNIT_ASSERT(!Keeping.nextRelease(Released, Now));
  });
}

// Guards against a task that runs twice after a small entry released the duty
// of its former process: the holder before that one may still grant leases.
HEATHERCROSS_STORY(ReleasedDutyLeases,
                   "a release hides no earlier holder's leases") {
  Instant Now(Seconds(10));
  DutyWatch W(EntryId("e4/1"), 0.5);
  W.holderRead(Quotes, {{EntryId("e2/1"), "", Epoch(1), 7}, RowVersion(9)},
               Now);
  Now += Millis(1800);
  // The row of e1 with epoch 2 wasn't seen, only its release.
  W.polled(Now);
  W.holderRead(Quotes, {{EntryId(), "", Epoch(2), 1}, RowVersion(11)}, Now);
  const auto Claimed = W.nextReleasedClaim(0, Now + Millis(100));
  CPPUNIT_ASSERT(Claimed && Claimed->FormerActsUntil_ >= Now + MaxRenewalAge);
}

// Guards against a duty that returns at once to the loaded entry that handed it
// over.
HEATHERCROSS_STORY(HandedOverDuty,
                   "an entry that handed a duty over claims it last") {
  const StoredHolder Vacant{{EntryId(), "", Epoch(3), 8}, RowVersion(10)};
  Instant Now(Seconds(10));
  DutyWatch W(EntryId("e1/1"), 1);
  W.holderRead(Quotes, {{EntryId("e1/1"), "", Epoch(3), 7}, RowVersion(9)},
               Now);
  CPPUNIT_ASSERT(W.mayBegin(Quotes));
  W.begun(Quotes, Epoch(3));
  W.handedOver(Quotes, Now);
  W.ended(Quotes, Now);
  section("it doesn't begin the epoch again, however long the row names it",
          [&] { CPPUNIT_ASSERT(!W.mayBegin(Quotes)); });
  W.holderRead(Quotes, Vacant, Now);
  section("it leaves it to the others for 3 s",
          [&] { CPPUNIT_ASSERT(!poll(W, Now, Millis(2900))); });
  section("but claims if nobody else does",
          [&] { CPPUNIT_ASSERT(poll(W, Now, Millis(1500)).has_value()); });
  section("once another entry has held it, it claims like any other", [&] {
    W.handedOver(Quotes, Now);
    W.holderRead(Quotes, {{EntryId("e2/1"), "", Epoch(4), 0}, RowVersion(11)},
                 Now);
    W.holderRead(Quotes, {{EntryId(), "", Epoch(4), 1}, RowVersion(12)}, Now);
    CPPUNIT_ASSERT(poll(W, Now, Millis(800)).has_value());
  });
}

// Guards against vacant duties that the entries of a deployment with equal
// shares claim sooner than before, and so spread less evenly.
HEATHERCROSS_STORY(EarlyClaims, "only larger entries claim between polls") {
  const Instant Now(Seconds(10));
  for (const double Factor : {1.0, 2.0}) {
    DutyWatch W(EntryId("e1/1"), Factor);
    W.polled(Now);
    W.holderRead(Quotes, {{EntryId(), "", Epoch(4), 1}, RowVersion(12)}, Now);
    CPPUNIT_ASSERT(!W.nextReleasedClaim(0, Now + Millis(900)));
  }
  DutyWatch Large(EntryId("e1/1"), 0.5);
  Large.polled(Now);
  Large.addPools({Quotes}, Now);
  Large.holderRead(PoolId("held"),
                   {{EntryId("e2/1"), "", Epoch(4), 1}, RowVersion(12)}, Now);
  CPPUNIT_ASSERT(!Large.nextReleasedClaim(0, Now + Millis(900)));
}
