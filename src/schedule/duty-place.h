// Decides when a holder gives its duty back because it is loaded and an entry
// with more processor time is alive.
//
// Load: after a loss of all power, or when entries with more processor time
// start late, an entry with 0.12 of a core holds a duty. It can't start the
// tasks of a burst although most of the pool is free.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <deque>
#include <map>
#include <optional>

namespace heathercross::schedule {

/// The processor shares of the other entries that were seen lately.
class EntryShares {
public:
  /// Records that an entry with this processor share, in cores, is alive.
  void seen(const EntryId &Entry, double Cores, Instant Now);

  struct Candidate {
    EntryId Entry_;
    double Cores_ = 0;
  };
  /// Returns the entry with the largest share per duty if it takes one more, of
  /// those with at least twice Own cores and twice Own / OwnDuties a duty. Held
  /// is the number of duties by the entries' names.
  std::optional<Candidate> stronger(double Own, std::size_t OwnDuties,
                                    const std::map<EntryId, std::size_t> &Held,
                                    Instant Now) const;

private:
  struct Seen {
    double Cores_ = 0;
    Instant At_;
  };
  std::map<EntryId, Seen> Entries_;
};

/// Decides about one duty, also across times in which others hold it.
class DutyPlace {
public:
  /// Records that this entry took the duty. Returned says that a holder had
  /// given the duty back.
  void begun(bool Returned, Instant Now);
  /// Records whether the holder is loaded: its last round left ready tasks
  /// waiting for which there is room, because of its limit of unanswered
  /// orders, or its event loop is late. To be called every 0.1 s or so.
  void observe(bool Loaded, Instant Now);
  /// Records that a handover to an entry with more processor time has begun.
  void handedOver(Instant Now);

  /// The part of the last 2 s in which the holder was loaded.
  double loadedPart(Instant Now) const;
  /// Whether the duty is to be handed over if there is an entry for it.
  bool wantsHandover(Instant Now) const;

private:
  struct Observation {
    Instant At_;
    /// Time since the observation before.
    Micros Duration_{0};
    bool Loaded_ = false;
  };
  std::deque<Observation> Observations_;
  Instant NotBefore_;
  Instant HandedOverAt_;
  /// Whether the last handover is still to be judged.
  bool Unjudged_ = false;
  Millis Backoff_{0};
};

} // namespace heathercross::schedule
