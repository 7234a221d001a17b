// Tests of duties under a store that refuses, loses or delays writes: a process
// begins each epoch at most once, and no duty stays without a holder.
#include "schedule/duty-watch.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace heathercross;
using namespace heathercross::schedule;

namespace {

const PoolId Pool("quotes");

enum class Fate : std::uint8_t { Done, Refused, LostAnswer, Late };

/// A write of the holder row that the store may still carry out.
struct Write {
  RowVersion If_;
  HolderRow Row_;
};

/// One entry process and the duty that it runs.
struct Process {
  explicit Process(const std::string &Id) : Id_(Id), Watch_(EntryId(Id), 1) {}

  EntryId Id_;
  DutyWatch Watch_;
  std::optional<Epoch> Running_;
  /// The version of the row that the running duty wrote.
  RowVersion Guard_;
  std::vector<Epoch> Begun_;
};

class Cluster {
public:
  std::vector<Process> Processes_;
  std::optional<StoredHolder> Row_;
  std::uint64_t Version_ = 1;
  std::vector<Write> Late_;
  Instant Now_{Seconds(10)};
  bool BegunTwice_ = false;

  Cluster() {
    for (const char *Id : {"e1/1", "e2/1"}) {
      Processes_.emplace_back(Id);
      Processes_.back().Watch_.addPools({Pool}, Now_);
    }
  }

  bool apply(const Write &W) {
    if (W.If_ != (Row_ ? Row_->Version_ : RowVersion()))
      return false;
    Row_ = {W.Row_, RowVersion(++Version_)};
    return true;
  }
  /// Whether the writer learns that its write was carried out.
  bool write(const Write &W, Fate F) {
    if (F == Fate::Late)
      Late_.push_back(W);
    if (F == Fate::Refused || F == Fate::Late)
      return false;
    return apply(W) && F == Fate::Done;
  }

  void begin(Process &P, Epoch E) {
    P.Watch_.begun(Pool, E);
    BegunTwice_ =
        BegunTwice_ || std::ranges::find(P.Begun_, E) != P.Begun_.end();
    P.Begun_.push_back(E);
    P.Running_ = E;
  }
  void end(Process &P) {
    P.Running_.reset();
    P.Watch_.ended(Pool, Now_);
  }

  /// A poll of the rows, and what follows from it.
  void poll(Process &P, Fate F) {
    if (Row_)
      P.Watch_.holderRead(Pool, *Row_, Now_);
    P.Watch_.polled(Now_);
    if (P.Running_ && Row_ &&
        (Row_->Row_.Holder_ != P.Id_ || Row_->Row_.Epoch_ != *P.Running_))
      end(P);
    if (!P.Running_ && P.Watch_.mayBegin(Pool))
      begin(P, Row_->Row_.Epoch_);
    if (P.Running_)
      return renew(P);
    const auto C = P.Watch_.nextClaim(0, Now_);
    if (!C)
      return;
    const HolderRow Self{P.Id_, "", C->Epoch_, 0};
    if (!write({C->Version_, Self}, F))
      return F == Fate::Refused ? P.Watch_.claimRefused(Now_) : void();
    P.Watch_.holderRead(Pool, *Row_, Now_);
    begin(P, C->Epoch_);
  }
  void renew(Process &P) {
    HolderRow Row = Row_->Row_;
    ++Row.Serial_;
    apply({Row_->Version_, Row});
    P.Watch_.holderRead(Pool, *Row_, Now_);
  }
  void giveBack(Process &P, Fate F) {
    if (!P.Running_)
      return;
    HolderRow Vacant = Row_->Row_;
    Vacant.Holder_ = EntryId();
    ++Vacant.Serial_;
    write({Row_->Version_, Vacant}, F);
    P.Watch_.handedOver(Pool, Now_);
    end(P);
  }
  bool held() const {
    return std::ranges::any_of(Processes_, [&](const Process &P) {
      return P.Running_ && Row_ && Row_->Row_.Holder_ == P.Id_ &&
             Row_->Row_.Epoch_ == *P.Running_;
    });
  }
};

void anyFates() {
  Cluster C;
  const int Events = *rc::gen::inRange(1, 80);
  for (int I = 0; I < Events; ++I) {
    Process &P =
        C.Processes_[static_cast<std::size_t>(*rc::gen::inRange(0, 2))];
    const Fate F = static_cast<Fate>(*rc::gen::inRange(0, 4));
    C.Now_ += Millis(*rc::gen::inRange(0, 700));
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
      C.giveBack(P, F);
      break;
    case 1:
      // Workers fence it, or its fences are used up.
      if (P.Running_)
        C.end(P);
      break;
    case 2:
      if (!C.Late_.empty()) {
        C.apply(C.Late_.back());
        C.Late_.pop_back();
      }
      break;
    default:
      C.poll(P, F);
      break;
    }
    RC_ASSERT(!C.BegunTwice_);
  }
  const Instant End = C.Now_ + Seconds(15);
  for (; C.Now_ < End && !C.held(); C.Now_ += Millis(300))
    for (Process &P : C.Processes_)
      C.poll(P, Fate::Done);
  RC_ASSERT(C.held());
  RC_ASSERT(!C.BegunTwice_);
}

} // namespace

// The class of LOST for duties: a second begin of an epoch in one process,
// after whatever the store did to the writes of the holder row.
HEATHERCROSS_STORY(EpochsOnce, "a process begins each epoch at most once") {
  HEATHERCROSS_PROPERTY("and no duty stays without a holder", anyFates);
}
