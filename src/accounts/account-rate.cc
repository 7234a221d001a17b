// The guaranteed rates of client accounts, and which jobs exceed them.
#include "accounts/account-rate.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace heathercross::accounts {

namespace {

/// Depth of a bucket: some jobs, as random submissions of a steady account run
/// ahead of its rate by a few jobs whatever that rate is, and a time at the
/// guaranteed rate. A longer time would delay the limit of a large account by
/// as much.
constexpr double BurstJobs = 4;
constexpr Millis BucketWindow{500};
/// Depth up to which a pool's part of the guaranteed rate fills an empty
/// bucket.
constexpr Millis PartWindow{250};
/// A reported rate of other pools is used for this long.
constexpr Seconds ReportedRateTimeout{2};
/// Time for which a repeated job id counts as the same submission.
constexpr Seconds RepeatWindow{2};
/// Maximum number of remembered job ids; 2 s at 2,000 submissions a second.
constexpr std::size_t MaxRecentIds = 4096;
/// An account that had no job beyond its rate for this long has ceased to
/// exceed it.
constexpr Seconds ExceedingWindow{2};
/// Bounds of Retry-After, which is in whole seconds.
constexpr Millis MinRetryAfter{1000};
constexpr Millis MaxRetryAfter{4000};
/// Further jobs beyond the rate don't make the wait any longer.
constexpr Seconds MaxBacklog{4};
constexpr Millis SlotTime{100};

double seconds(Micros Time) {
  return std::chrono::duration<double>(Time).count();
}

std::int64_t slotNumber(Instant At) {
  return At.time_since_epoch() / Micros(SlotTime);
}

} // namespace

void SecondCount::add(Instant Now) {
  const std::int64_t Number = slotNumber(Now);
  Slot &S = Slots_[static_cast<std::size_t>(Number) % SlotCount];
  if (S.Number_ != Number)
    S = {Number, 0};
  ++S.Count_;
}

std::uint32_t SecondCount::count(Instant Now) const {
  const std::int64_t Oldest =
      slotNumber(Now) - static_cast<std::int64_t>(SlotCount) + 1;
  return std::accumulate(Slots_.begin(), Slots_.end(), std::uint32_t{0},
                         [Oldest](std::uint32_t Sum, const Slot &S) {
                           return S.Number_ >= Oldest ? Sum + S.Count_ : Sum;
                         });
}

RateBucket::RateBucket(std::uint32_t Weight, Instant Now)
    : Weight_(Weight), Tokens_(depth()), Balance_(Tokens_), UpdatedAt_(Now) {}

void RateBucket::setWeight(std::uint32_t Weight, Instant Now) {
  if (Weight == Weight_)
    return;
  refill(Now);
  Weight_ = Weight;
  Tokens_ = std::min(Tokens_, depth());
  Balance_ = std::min(Balance_, depth());
}

void RateBucket::recordArrival(Instant Now) {
  refill(Now);
  Arrivals_.add(Now);
  const double MaxExcess = Weight_ * seconds(MaxBacklog);
  Balance_ = std::max(Balance_ - 1, -MaxExcess);
}

RateShare RateBucket::take(Instant Now) {
  refill(Now);
  if (Tokens_ < 1)
    return RateShare::OverShare;
  Tokens_ -= 1;
  return RateShare::Guaranteed;
}

void RateBucket::setOtherPools(double JobsPerSecond, Instant Now,
                               Instant Until) {
  refill(Now);
  OtherPools_ = JobsPerSecond;
  OtherPoolsUntil_ = Until;
}

double RateBucket::otherPools(Instant Now) const {
  return Now < OtherPoolsUntil_ ? OtherPools_ : 0;
}

Micros RateBucket::untilAvailable(Instant Now) {
  refill(Now);
  const double Missing = 1 - std::min(Tokens_, Balance_);
  if (Missing <= 0)
    return Micros(0);
  // The other pools' arrivals needn't go on for that long.
  return std::chrono::duration_cast<Micros>(
      std::chrono::duration<double>(Missing / Weight_));
}

double RateBucket::depth() const {
  return BurstJobs + Weight_ * seconds(BucketWindow);
}

void RateBucket::refill(Instant Now) {
  if (Now <= UpdatedAt_)
    return;
  const double OwnRate = Arrivals_.count(Now);
  const Instant Reported = std::clamp(OtherPoolsUntil_, UpdatedAt_, Now);
  addTokens(seconds(Reported - UpdatedAt_), OtherPools_, OwnRate);
  addTokens(seconds(Now - Reported), 0, OwnRate);
  UpdatedAt_ = Now;
}

void RateBucket::addTokens(double Seconds, double OtherPools, double OwnRate) {
  if (Seconds <= 0)
    return;
  const double Weight = Weight_;
  const double Rest = (Weight - OtherPools) * Seconds;
  const double Total = OwnRate + OtherPools;
  const double Part = Total > Weight ? Weight * OwnRate / Total * Seconds : 0;
  const double PartDepth = std::max(1.0, Weight * seconds(PartWindow));
  // An empty bucket gets this pool's part of the guaranteed rate; a fuller one
  // is drained down to that level by the other pools' arrivals.
  const double Least = std::min(Tokens_ + Part, PartDepth);
  Tokens_ = std::min(std::max(Tokens_ + Rest, Least), depth());
  Tokens_ = std::max(Tokens_, 0.0);
  Balance_ = std::min(Balance_ + std::max(Rest, Part), depth());
}

void AccountRates::setAccounts(const AccountDirectory &Accounts, Instant Now) {
  std::map<AccountId, State> Kept;
  for (const Account &A : Accounts.accounts()) {
    if (A.Weight_ == 0)
      continue;
    const auto Known = Accounts_.find(A.Id_);
    State S = Known == Accounts_.end()
                  ? State{RateBucket(A.Weight_, Now), std::nullopt, 0}
                  : Known->second;
    S.Bucket_.setWeight(A.Weight_, Now);
    Kept.emplace(A.Id_, S);
  }
  Accounts_ = std::move(Kept);
}

RateShare AccountRates::recordSubmission(const AccountId &Id, const JobId &Job,
                                         Instant Now) {
  const auto Found = Accounts_.find(Id);
  if (Found == Accounts_.end())
    return RateShare::Guaranteed;
  State &S = Found->second;
  const bool Repeat = isRepeat(Job, Now);
  if (!Repeat)
    S.Bucket_.recordArrival(Now);
  const RateShare Share = share(S, Job, Repeat, Now);
  if (Share == RateShare::Guaranteed || Repeat)
    return Share;
  if (!S.LastOverShare_) {
    Changes_.push_back({Id, true, 0});
    S.OverShareJobs_ = 0;
  }
  S.LastOverShare_ = Now;
  ++S.OverShareJobs_;
  return Share;
}

RateShare AccountRates::share(State &S, const JobId &Job, bool Repeat,
                              Instant Now) {
  if (Repeat && Guaranteed_.contains(Job))
    return RateShare::Guaranteed;
  const RateShare Share = S.Bucket_.take(Now);
  if (Share == RateShare::Guaranteed)
    Guaranteed_.insert(Job);
  return Share;
}

bool AccountRates::isRepeat(const JobId &Job, Instant Now) {
  while (!Recent_.empty() && (Now - Recent_.front().At_ > RepeatWindow ||
                              Recent_.size() >= MaxRecentIds)) {
    RecentIds_.erase(Recent_.front().Job_);
    Guaranteed_.erase(Recent_.front().Job_);
    Recent_.pop_front();
  }
  if (!RecentIds_.insert(Job).second)
    return true;
  Recent_.push_back({Now, Job});
  return false;
}

void AccountRates::setOtherPools(const ArrivalRates &Rates, Instant Now) {
  for (auto &[Id, S] : Accounts_) {
    const auto Rate = Rates.find(Id);
    S.Bucket_.setOtherPools(Rate == Rates.end() ? 0 : Rate->second, Now,
                            Now + ReportedRateTimeout);
  }
}

ArrivalRates AccountRates::arrivalRates(Instant Now) const {
  ArrivalRates Rates;
  for (const auto &[Id, S] : Accounts_) {
    const std::uint32_t Arrivals = S.Bucket_.arrivals(Now);
    if (Arrivals > 0 && Rates.size() < MaxReportedAccounts)
      Rates[Id] = Arrivals;
  }
  return Rates;
}

Millis AccountRates::retryAfter(const AccountId &Id, Instant Now) {
  const auto Found = Accounts_.find(Id);
  if (Found == Accounts_.end())
    return MinRetryAfter;
  return std::clamp(toMillis(Found->second.Bucket_.untilAvailable(Now)),
                    MinRetryAfter, MaxRetryAfter);
}

std::vector<ShareChange> AccountRates::takeChanges(Instant Now) {
  for (auto &[Id, S] : Accounts_) {
    if (!S.LastOverShare_ || Now - *S.LastOverShare_ <= ExceedingWindow)
      continue;
    S.LastOverShare_.reset();
    Changes_.push_back({Id, false, S.OverShareJobs_});
  }
  return std::exchange(Changes_, {});
}

const RateBucket *AccountRates::find(const AccountId &Id) const {
  const auto Found = Accounts_.find(Id);
  return Found == Accounts_.end() ? nullptr : &Found->second.Bucket_;
}

void addRates(ArrivalRates &Sum, const ArrivalRates &Rates) {
  for (const auto &[Id, Rate] : Rates)
    Sum[Id] += Rate;
}

} // namespace heathercross::accounts
