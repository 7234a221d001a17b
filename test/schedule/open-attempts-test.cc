// Tests of when a call may be answered as not carried out.
#include "schedule/open-attempts.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <optional>
#include <vector>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

HEATHERCROSS_STORY(OpenAttemptsRules,
                   "a call is refused only if no attempt may take effect") {
  OpenAttempts Open;
  section("nothing was tried", [&] {
    CPPUNIT_ASSERT(!Open.any());
    CPPUNIT_ASSERT(Open.excludedBy(Epoch(1)));
  });
  section("an attempt without an answer", [&] {
    Open.begin(Epoch(4));
    CPPUNIT_ASSERT(Open.any());
    CPPUNIT_ASSERT(!Open.excludedBy(Epoch(4)));
    CPPUNIT_ASSERT(Open.excludedBy(Epoch(5)));
  });
  section("a second attempt at the same holder is rejected", [&] {
    Open.begin(Epoch(4));
    Open.ruleOut(Epoch(4));
    CPPUNIT_ASSERT(!Open.excludedBy(Epoch(4)));
  });
  section("the first is answered late", [&] {
    Open.ruleOut(Epoch(4));
    CPPUNIT_ASSERT(!Open.any());
  });
}

namespace {

/// One submission, its attempts, and the holders of its pool. The store takes a
/// batch only from the holder of the current epoch.
class ModelCall {
public:
  void step() {
    enum class Event : std::uint8_t { Try, Takeover, GiveUp, Progress };
    switch (*rc::gen::weightedElement<Event>({{6, Event::Try},
                                              {2, Event::Takeover},
                                              {1, Event::GiveUp},
                                              {6, Event::Progress}})) {
    case Event::Try:
      return attempt();
    case Event::Takeover:
      Current_ = Current_.next();
      return;
    case Event::GiveUp:
      return giveUp();
    case Event::Progress:
      if (!Attempts_.empty())
        proceed(*rc::gen::inRange<std::size_t>(0, Attempts_.size()));
    }
  }

  /// Everything that is on its way arrives.
  void settle() {
    while (!Attempts_.empty())
      proceed(0);
  }

  bool refused() const { return Refused_; }
  bool stored() const { return Stored_; }

private:
  enum class Place { ToHolder, ToStore };
  struct Attempt {
    Epoch Epoch_;
    Place Place_ = Place::ToHolder;
  };

  /// Entries may know an earlier holder, which may still believe that it has
  /// the duty.
  void attempt() {
    if (Answered_)
      return;
    const bool Stale = Current_ > Epoch(1) && *rc::gen::inRange(0, 4) == 0;
    const Epoch E = Stale ? Epoch(Current_.value() - 1) : Current_;
    Open_.begin(E);
    Attempts_.push_back({E, Place::ToHolder});
  }

  void proceed(std::size_t I) {
    Attempt &A = Attempts_[I];
    const Epoch E = A.Epoch_;
    if (A.Place_ == Place::ToHolder) {
      switch (*rc::gen::inRange(0, 4)) {
      case 0:
        remove(I);
        return notHolder(E);
      case 1:
        // A holder that has the job accepts it.
        if (!Stored_ || StoredIn_ > E) {
          remove(I);
          return rejected(E);
        }
        A.Place_ = Place::ToStore;
        return;
      default:
        A.Place_ = Place::ToStore;
        return;
      }
    }
    if (E == Current_ && !Stored_) {
      Stored_ = true;
      StoredIn_ = E;
    }
    const bool Applied = Stored_ && StoredIn_ <= E;
    remove(I);
    if (Applied && isReplyDelivered())
      Answered_ = true;
    // The reply that the duty was lost leaves the outcome open.
  }

  void remove(std::size_t I) {
    Attempts_.erase(Attempts_.begin() + static_cast<std::ptrdiff_t>(I));
  }

  static bool isReplyDelivered() { return *rc::gen::inRange(0, 3) > 0; }

  void notHolder(Epoch E) {
    if (isReplyDelivered())
      Open_.ruleOut(E);
  }

  void rejected(Epoch E) {
    if (!isReplyDelivered())
      return;
    Open_.ruleOut(E);
    if (Answered_)
      return;
    Answered_ = true;
    Refused_ = Open_.excludedBy(E);
  }

  void giveUp() {
    if (Answered_)
      return;
    Answered_ = true;
    Refused_ = !Open_.any();
  }

  OpenAttempts Open_;
  Epoch Current_{1};
  std::vector<Attempt> Attempts_;
  bool Stored_ = false;
  Epoch StoredIn_;
  bool Answered_ = false;
  bool Refused_ = false;
};

} // namespace

// Guards against jobs that ran although every attempt was answered 503.
HEATHERCROSS_STORY(RefusalProperty, "a refused submission is never stored") {
  HEATHERCROSS_PROPERTY("whichever answers are lost or late", [] {
    for (int Calls = 0; Calls < 50; ++Calls) {
      ModelCall Call;
      for (int I = 0; I < 20; ++I)
        Call.step();
      Call.settle();
      RC_ASSERT(!Call.refused() || !Call.stored());
    }
  });
}
