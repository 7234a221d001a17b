// How pools divide an account's limit, and which share of it a pool takes.
#include "accounts/limit-share.h"

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>
#include <vector>

namespace heathercross::accounts {

namespace {

/// A pool keeps a share that it doesn't need for this long, as demand changes
/// within a second and each change of a share is a transaction.
constexpr Millis ReleaseDelay{1000};
/// How long a pool keeps a share that is too small for a task, and how long it
/// then leaves it to other pools.
constexpr Millis StarvedLimit{15'000};
constexpr Millis YieldTime{3000};
/// Changes of a want or an excess that are smaller aren't worth a transaction.
constexpr std::int64_t MinPublishedChange = 50'000;

/// What a pool takes beyond its need, so that a start rarely waits for a
/// transaction. Demand rises to five times its mean at once, and each step
/// towards a share costs a transaction, so steps are large while much of the
/// limit is unallocated.
std::int64_t headroom(std::int64_t Needed, std::int64_t Unallocated) {
  constexpr std::int64_t Fraction = 4;
  constexpr std::int64_t Least = 10'000;
  constexpr std::int64_t UnallocatedFraction = 8;
  return Needed == 0
             ? 0
             : Needed / Fraction + Least + Unallocated / UnallocatedFraction;
}

/// At most MaxWholes wholes, so that no product overflows.
std::int64_t fieldShare(std::int64_t Part, std::int64_t Limit) {
  constexpr std::int64_t MaxWholes = 1000;
  if (Limit <= 0 || Part <= 0)
    return 0;
  if (Part / Limit >= MaxWholes)
    return MaxWholes * WholeShare;
  return Part / Limit * WholeShare +
         (Part % Limit * WholeShare + Limit - 1) / Limit;
}

/// Whether Sum is within the share of the limit, in the fields that a start
/// needs.
bool within(const Resources &Sum, const Resources &Needs,
            const Resources &Limit, std::int64_t Share) {
  const auto Fits = [Share](std::int64_t S, std::int64_t Need, std::int64_t L) {
    return L == 0 || Need == 0 || S <= L * Share / WholeShare;
  };
  return Fits(Sum.CpuMilli_, Needs.CpuMilli_, Limit.CpuMilli_) &&
         Fits(Sum.MemoryMb_, Needs.MemoryMb_, Limit.MemoryMb_) &&
         Fits(Sum.Gpus_, Needs.Gpus_, Limit.Gpus_);
}

bool permitsWith(std::int64_t Share, const Resources &Limit,
                 const Resources &Used, const Resources &Total,
                 const Resources &One) {
  Resources Sum = Used;
  if (within(Sum += Total, Total, Limit, Share))
    return true;
  if (Share < WholeShare || shareFor(Used, Limit) > 0)
    return false;
  Resources Others = Total;
  Others -= One;
  return within(Others, Others, Limit, WholeShare);
}

/// Divides Whole by the wants: each gets what it wants, or an equal part.
std::map<PoolId, std::int64_t>
divide(std::vector<std::pair<std::int64_t, PoolId>> Wants, std::int64_t Whole) {
  std::map<PoolId, std::int64_t> Parts;
  std::ranges::sort(Wants);
  auto Left = static_cast<std::int64_t>(Wants.size());
  for (const auto &[Want, Pool] : Wants) {
    Parts[Pool] = std::min(Want, Whole / Left--);
    Whole -= Parts[Pool];
  }
  return Parts;
}

} // namespace

std::int64_t LimitShares::shareOf(const PoolId &Pool) const {
  const auto It = Pools_.find(Pool);
  return It == Pools_.end() ? 0 : It->second.Share_;
}

std::int64_t LimitShares::unallocated() const {
  std::int64_t Rest = WholeShare;
  for (const auto &[Pool, S] : Pools_)
    Rest -= S.Share_;
  return std::max<std::int64_t>(0, Rest);
}

std::int64_t shareFor(const Resources &R, const Resources &Limit) {
  return std::max({fieldShare(R.CpuMilli_, Limit.CpuMilli_),
                   fieldShare(R.MemoryMb_, Limit.MemoryMb_),
                   fieldShare(R.Gpus_, Limit.Gpus_)});
}

bool Allowance::permits(const Resources &Used, const Resources &Total,
                        const Resources &One) const {
  return permitsWith(Share_, Limit_, Used, Total, One);
}

bool Allowance::reaches(const Resources &Used, const Resources &Total,
                        const Resources &One) const {
  return permitsWith(Reachable_, Limit_, Used, Total, One);
}

std::map<PoolId, std::int64_t> partsOf(const LimitShares &Row) {
  std::vector<std::pair<std::int64_t, PoolId>> Wants;
  for (const auto &[Pool, S] : Row.Pools_)
    Wants.emplace_back(S.Wanted_, Pool);
  auto Parts = divide(Wants, WholeShare);
  std::optional<std::tuple<std::int64_t, PoolId, std::int64_t>> Next;
  for (const auto &[Pool, S] : Row.Pools_)
    if (S.Least_ > Parts[Pool] && (!Next || S.Turn_ < std::get<0>(*Next)))
      Next = {S.Turn_, Pool, S.Least_};
  if (!Next)
    return Parts;
  const auto &[Turn, First, Least] = *Next;
  std::erase_if(Wants, [&First = First](const auto &Entry) {
    return Entry.second == First;
  });
  Parts = divide(std::move(Wants), WholeShare - Least);
  Parts[First] = Least;
  return Parts;
}

PoolShare ShareDecision::currentNeeds(const LimitShares &Row,
                                      const AccountNeed &N,
                                      const Resources &Limit) const {
  const auto It = Row.Pools_.find(Pool_);
  PoolShare Own = It == Row.Pools_.end() ? PoolShare() : It->second;
  Resources InUse = N.Used_;
  InUse += N.Awaited_;
  Resources All = InUse;
  All += N.Waiting_;
  const bool Starved = N.Least_ && shareFor(InUse, Limit) == 0;
  Own.Wanted_ = std::min(WholeShare, shareFor(All, Limit));
  Own.Least_ = Starved ? std::min(WholeShare, shareFor(*N.Least_, Limit)) : 0;
  Own.Wanted_ = std::max(Own.Wanted_, Own.Least_);
  // What awaited workers run is known once they have reported.
  const std::int64_t Over =
      std::max<std::int64_t>(0, shareFor(N.Used_, Limit) - Own.Share_);
  Own.Over_ = N.Awaited_ == Resources() ? Over : std::max(Over, Own.Over_);
  if (Own.Least_ <= Own.Share_) {
    Own.Turn_ = 0;
  } else if (Own.Turn_ == 0) {
    for (const auto &[Pool, S] : Row.Pools_)
      Own.Turn_ = std::max(Own.Turn_, S.Turn_);
    ++Own.Turn_;
  }
  return Own;
}

std::int64_t ShareDecision::missingElsewhere(const LimitShares &View) const {
  std::int64_t Missing = -View.unallocated();
  const auto Parts = partsOf(View);
  for (const auto &[Pool, S] : View.Pools_)
    if (Pool != Pool_)
      Missing += std::max<std::int64_t>(0, Parts.at(Pool) - S.Share_);
  return std::max<std::int64_t>(0, Missing);
}

std::int64_t ShareDecision::target(const LimitShares &View, std::int64_t Used,
                                   Instant Now) {
  const PoolShare &Own = View.Pools_.at(Pool_);
  const std::int64_t Headroom = headroom(Own.Wanted_, View.unallocated());
  const bool MissingElsewhere = missingElsewhere(View) > 0;
  std::int64_t Wants = Headroom;
  for (const auto &[Pool, S] : View.Pools_)
    Wants += std::max(S.Wanted_, Pool == Pool_ ? 0 : S.Share_);
  const bool Scarce = MissingElsewhere || Wants > WholeShare;
  const std::int64_t Ideal =
      Scarce ? partsOf(View).at(Pool_) : Own.Wanted_ + Headroom;
  if (Ideal > Own.Share_) {
    ExcessSince_.reset();
    if (Own.Share_ >= Own.Wanted_ + Headroom / 2)
      return Own.Share_;
    return std::min(Ideal, Own.Share_ + View.unallocated());
  }
  const std::int64_t Kept = std::max(Ideal, std::min(Used, Own.Share_));
  if (MissingElsewhere)
    return Kept;
  if (Own.Share_ <= Own.Wanted_ + 2 * Headroom) {
    ExcessSince_.reset();
    return Own.Share_;
  }
  if (!ExcessSince_)
    ExcessSince_ = Now;
  return Now - *ExcessSince_ < ReleaseDelay ? Own.Share_ : Kept;
}

AccountNeed ShareDecision::effectiveNeed(const AccountNeed &N) const {
  if (!YieldUntil_)
    return N;
  AccountNeed Yielding = N;
  Yielding.Waiting_ = Resources();
  Yielding.Least_.reset();
  return Yielding;
}

void ShareDecision::updateYield(const PoolShare &Own, Instant Now) {
  if (YieldUntil_ && Now >= *YieldUntil_)
    YieldUntil_.reset();
  if (Own.Least_ <= Own.Share_) {
    StarvedSince_.reset();
    return;
  }
  if (!StarvedSince_)
    StarvedSince_ = Now;
  if (Now - *StarvedSince_ < StarvedLimit)
    return;
  StarvedSince_.reset();
  YieldUntil_ = Now + YieldTime;
}

std::optional<LimitShares> ShareDecision::next(const LimitShares &Row,
                                               const AccountNeed &Need,
                                               const Resources &Limit,
                                               Instant Now) {
  updateYield(currentNeeds(Row, effectiveNeed(Need), Limit), Now);
  const AccountNeed N = effectiveNeed(Need);
  const auto Stored = Row.Pools_.find(Pool_);
  const PoolShare Before =
      Stored == Row.Pools_.end() ? PoolShare() : Stored->second;
  LimitShares View = Row;
  PoolShare &Own = View.Pools_[Pool_] = currentNeeds(Row, N, Limit);
  Resources InUse = N.Used_;
  InUse += N.Awaited_;
  Own.Share_ = target(View, shareFor(InUse, Limit), Now);
  const bool ShareChanged = Own.Share_ != Before.Share_;
  if (ShareChanged)
    ExcessSince_.reset();
  const auto Differs = [](std::int64_t A, std::int64_t B) {
    return (A == 0) != (B == 0) ||
           std::max(A, B) - std::min(A, B) > MinPublishedChange;
  };
  const bool Lacks = Own.Wanted_ > Own.Share_;
  const bool WantChanged =
      Lacks && (Before.Wanted_ <= Before.Share_ ||
                Differs(Own.Wanted_, Before.Wanted_) ||
                Own.Least_ != Before.Least_ || Own.Turn_ != Before.Turn_);
  // Others divide by the stored wants, so a want that is no longer true would
  // keep a part of the limit from them.
  const bool WantEnded = !Lacks && Before.Wanted_ > Before.Share_;
  if (!ShareChanged && !WantChanged && !WantEnded &&
      !Differs(Own.Over_, Before.Over_))
    return std::nullopt;
  if (Own == PoolShare())
    View.Pools_.erase(Pool_);
  return View == Row ? std::nullopt : std::optional(View);
}

Allowance ShareDecision::allowance(const LimitShares &Row,
                                   const AccountNeed &Need,
                                   const Resources &Limit) const {
  Allowance A{Limit, 0, 0};
  const AccountNeed N = effectiveNeed(Need);
  LimitShares View = Row;
  const PoolShare &Own = View.Pools_[Pool_] = currentNeeds(Row, N, Limit);
  const std::int64_t Part = partsOf(View).at(Pool_);
  const bool MissingElsewhere = missingElsewhere(View) > 0;
  A.Share_ = MissingElsewhere ? std::min(Own.Share_, Part) : Own.Share_;
  A.Reachable_ = MissingElsewhere
                     ? std::max(A.Share_, Part)
                     : std::max(Part, Own.Share_ + View.unallocated());
  for (const auto &[Pool, S] : Row.Pools_)
    if (Pool != Pool_)
      A.Share_ -= S.Over_;
  A.Share_ = std::max<std::int64_t>(0, A.Share_);
  return A;
}

} // namespace heathercross::accounts
