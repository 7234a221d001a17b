// The guaranteed rates of client accounts, and which jobs exceed them.
//
// Load: on some days an account sends 4 to 7.5 times its usual rate for 5 to
// 8 s, through several pools at a time. The others are owed their guaranteed
// rates meanwhile.
#pragma once

#include "accounts/account.h"
#include "heathercross/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace heathercross::accounts {

/// Jobs per second of accounts; an absent account has no arrivals.
using ArrivalRates = std::map<AccountId, double>;

/// Whether a job is within the guaranteed rate of its account.
enum class RateShare : std::uint8_t {
  Guaranteed,
  /// It exceeds that rate, so it gets only what guaranteed work leaves.
  OverShare,
};

/// Counts submissions during the last second.
class SecondCount {
public:
  void add(Instant Now);
  std::uint32_t count(Instant Now) const;

private:
  /// Number of slots that a second is divided into.
  static constexpr std::size_t SlotCount = 10;
  struct Slot {
    /// Number of the tenth of a second that the slot was last used in.
    std::int64_t Number_ = -1;
    std::uint32_t Count_ = 0;
  };
  std::array<Slot, SlotCount> Slots_;
};

/// The token bucket of one account in one pool. The guaranteed rate covers all
/// pools, so arrivals in other pools drain the bucket. While it is empty,
/// the pools divide the guaranteed rate by their arrivals; if each subtracted
/// the others' arrivals instead, all pools together would grant less than the
/// guaranteed rate.
class RateBucket {
public:
  /// The bucket is full at first.
  RateBucket(std::uint32_t Weight, Instant Now);

  /// Changes the guaranteed rate, in jobs per second.
  void setWeight(std::uint32_t Weight, Instant Now);
  /// Counts the arrival of a job.
  void recordArrival(Instant Now);
  /// Takes a token for a job; without one the job exceeds the guaranteed rate.
  RateShare take(Instant Now);
  /// Sets the rate of arrivals in other pools until the given time.
  void setOtherPools(double JobsPerSecond, Instant Now, Instant Until);

  std::uint32_t weight() const { return Weight_; }
  /// Arrivals in this pool during the last second.
  std::uint32_t arrivals(Instant Now) const { return Arrivals_.count(Now); }
  /// Rate of arrivals in other pools, or 0 if it isn't known.
  double otherPools(Instant Now) const;
  /// How long it takes until all jobs that have exceeded the guaranteed rate
  /// would be within it.
  Micros untilAvailable(Instant Now);

private:
  double depth() const;
  /// Adds the tokens of the time since the last update.
  void refill(Instant Now);
  void addTokens(double Seconds, double OtherPools, double OwnRate);

  std::uint32_t Weight_ = 0;
  double Tokens_ = 0;
  /// Tokens less all jobs that found none; not below what
  /// MaxBacklog takes to refill.
  double Balance_ = 0;
  Instant UpdatedAt_;
  SecondCount Arrivals_;
  double OtherPools_ = 0;
  Instant OtherPoolsUntil_;
};

/// An account that begins to exceed its guaranteed rate in a pool, or has
/// ceased to.
struct ShareChange {
  AccountId Account_;
  bool Exceeds_ = false;
  /// Jobs beyond the guaranteed rate since the account began to exceed it.
  std::uint64_t OverShareJobs_ = 0;
};

/// The guaranteed rates of all accounts, as one pool sees them.
class AccountRates {
public:
  /// Sets the configured accounts. Nothing of an account without a weight
  /// counts as beyond its rate.
  void setAccounts(const AccountDirectory &Accounts, Instant Now);
  /// Counts a submission, accepted or not, and returns whether it is within
  /// the guaranteed rate. A repeated id counts once.
  RateShare recordSubmission(const AccountId &Id, const JobId &Job,
                             Instant Now);
  /// Sets the arrival rates in all other pools.
  void setOtherPools(const ArrivalRates &Rates, Instant Now);
  /// The accounts with arrivals in this pool during the last second, at most
  /// MaxReportedAccounts.
  ArrivalRates arrivalRates(Instant Now) const;
  /// Returns the delay after which the account's share is available again, for
  /// a caller whose job was rejected.
  Millis retryAfter(const AccountId &Id, Instant Now);
  /// Returns the accounts that have begun or ceased to exceed their rates since
  /// the last call.
  std::vector<ShareChange> takeChanges(Instant Now);
  /// The bucket of an account with a weight, or null.
  const RateBucket *find(const AccountId &Id) const;

private:
  struct State {
    RateBucket Bucket_;
    std::optional<Instant> LastOverShare_;
    std::uint64_t OverShareJobs_ = 0;
  };
  struct Submission {
    Instant At_;
    JobId Job_;
  };

  /// Whether the id was already submitted lately; records it.
  bool isRepeat(const JobId &Job, Instant Now);
  RateShare share(State &S, const JobId &Job, bool Repeat, Instant Now);

  std::map<AccountId, State> Accounts_;
  /// Recent ids, oldest first, and those of them that got a token.
  std::deque<Submission> Recent_;
  std::set<JobId> RecentIds_;
  std::set<JobId> Guaranteed_;
  std::vector<ShareChange> Changes_;
};

/// Adds arrival rates to a sum, by account.
void addRates(ArrivalRates &Sum, const ArrivalRates &Rates);

/// Maximum number of accounts whose rates one message contains; some 20 KB.
inline constexpr std::size_t MaxReportedAccounts = 512;

} // namespace heathercross::accounts
