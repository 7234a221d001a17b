// Decides when a holder gives its duty back because it is loaded and an entry
// with more processor time is alive.
#include "schedule/duty-place.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

/// An entry that wasn't seen for this long may have failed.
constexpr Micros SeenFor{Seconds(5)};
/// A handover costs the pool about a second, so it has to gain much.
constexpr double MinRatio = 2;
/// Time over which the load is observed, and the part of it that counts as
/// loaded.
constexpr Micros LoadWindow{Seconds(2)};
constexpr double LoadedPart = 0.6;
/// Longest time that one observation stands for. It is short of LoadedPart, so
/// that a process that was suspended doesn't count as loaded.
constexpr Micros MaxObservation{Seconds(1)};
/// A new holder first adopts what runs, which takes about a second.
constexpr Millis MinHold{3000};
/// A duty that was given back and came to an entry with little processor time
/// found no better holder a moment ago.
constexpr Millis MinHoldReturned{10'000};
/// Pause after a handover after which this entry took the duty again; it
/// doubles up to MaxBackoff.
constexpr Millis FirstBackoff{30'000};
constexpr Millis MaxBackoff{240'000};
/// A duty that comes back later than this was lost by its next holder.
constexpr Micros ReturnWithin{Seconds(15)};

} // namespace

void EntryShares::seen(const EntryId &Entry, double Cores, Instant Now) {
  std::erase_if(Entries_, [Now](const auto &Known) {
    return Now - Known.second.At_ > SeenFor;
  });
  Entries_[Entry] = {Cores, Now};
}

std::optional<EntryShares::Candidate>
EntryShares::stronger(double Own, std::size_t OwnDuties,
                      const std::map<EntryId, std::size_t> &Held,
                      Instant Now) const {
  const double OwnPerDuty =
      Own / static_cast<double>(std::max<std::size_t>(1, OwnDuties));
  std::optional<Candidate> Best;
  double BestPerDuty = OwnPerDuty * MinRatio;
  for (const auto &[Entry, S] : Entries_) {
    if (Now - S.At_ > SeenFor || S.Cores_ < Own * MinRatio)
      continue;
    const auto Duties = Held.find(Entry);
    const std::size_t After = 1 + (Duties == Held.end() ? 0 : Duties->second);
    const double PerDuty = S.Cores_ / static_cast<double>(After);
    if (PerDuty < BestPerDuty)
      continue;
    BestPerDuty = PerDuty;
    Best = Candidate{Entry, S.Cores_};
  }
  return Best;
}

void DutyPlace::begun(bool Returned, Instant Now) {
  Observations_.clear();
  const bool CameBack = Unjudged_ && Now - HandedOverAt_ <= ReturnWithin;
  Unjudged_ = false;
  if (CameBack) {
    Backoff_ = std::clamp(Backoff_ * 2, FirstBackoff, MaxBackoff);
    NotBefore_ = Now + Backoff_;
    return;
  }
  Backoff_ = Millis(0);
  NotBefore_ = Now + (Returned ? MinHoldReturned : MinHold);
}

void DutyPlace::observe(bool Loaded, Instant Now) {
  const Micros Gap =
      Observations_.empty() ? Micros(0) : Now - Observations_.back().At_;
  Observations_.push_back({Now, std::min(Gap, MaxObservation), Loaded});
  while (Now - Observations_.front().At_ > LoadWindow)
    Observations_.pop_front();
}

void DutyPlace::handedOver(Instant Now) {
  HandedOverAt_ = Now;
  Unjudged_ = true;
}

double DutyPlace::loadedPart(Instant Now) const {
  Micros Sum{0};
  for (const Observation &O : Observations_)
    if (O.Loaded_ && Now - O.At_ <= LoadWindow)
      Sum += O.Duration_;
  return std::chrono::duration<double>(Sum) / LoadWindow;
}

bool DutyPlace::wantsHandover(Instant Now) const {
  return Now >= NotBefore_ && loadedPart(Now) >= LoadedPart;
}

} // namespace heathercross::schedule
