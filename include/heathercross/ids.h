// Strong types for identifiers, sequence numbers and versions.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace heathercross {

/// A string identifier; ids with different tags are distinct types.
template <class Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Value) : Value_(std::move(Value)) {}

  /// The identifier as written in table rows, logs and HTTP headers.
  const std::string &str() const { return Value_; }
  bool empty() const { return Value_.empty(); }

  auto operator<=>(const Id &) const = default;

private:
  std::string Value_;
};

/// A monotonically increasing number; zero means "none yet". Counters with
/// different tags are distinct types.
template <class Tag> class Counter {
public:
  constexpr Counter() = default;
  constexpr explicit Counter(std::uint64_t Value) : Value_(Value) {}

  constexpr std::uint64_t value() const { return Value_; }
  constexpr Counter next() const { return Counter(Value_ + 1); }

  constexpr auto operator<=>(const Counter &) const = default;

private:
  std::uint64_t Value_ = 0;
};

/// A worker instance of the fleet.
using InstanceId = Id<struct InstanceTag>;
/// An entry instance: one running heathercrossd.
using EntryId = Id<struct EntryTag>;
using PoolId = Id<struct PoolTag>;
using ZoneId = Id<struct ZoneTag>;
using RackId = Id<struct RackTag>;
using TeamId = Id<struct TeamTag>;
/// A client account. Callers of requests and tickets know theirs as their team.
using AccountId = TeamId;
using OperatorId = Id<struct OperatorTag>;
using WaveId = Id<struct WaveTag>;
using JobId = Id<struct JobTag>;
/// A caller's request as accepted by one entry instance.
using RequestId = Id<struct RequestTag>;
/// One attempt to run a request or job on one worker, or one attempt to commit
/// a transaction.
using AttemptId = Id<struct AttemptTag>;
/// A caller's key that marks repetitions of the same request.
using IdempotencyKey = Id<struct IdempotencyTag>;

/// The number of a change ticket; tickets commit in increasing order.
using TicketNumber = Counter<struct TicketNumberTag>;
/// The version of a row in the platform's table; zero means that the row
/// doesn't exist.
using RowVersion = Counter<struct RowVersionTag>;
/// The fencing epoch of a lease; each acquisition increases it.
using Epoch = Counter<struct EpochTag>;

} // namespace heathercross

template <class Tag> struct std::hash<heathercross::Id<Tag>> {
  std::size_t operator()(const heathercross::Id<Tag> &I) const noexcept {
    return std::hash<std::string>()(I.str());
  }
};

template <class Tag> struct std::hash<heathercross::Counter<Tag>> {
  std::size_t operator()(const heathercross::Counter<Tag> &C) const noexcept {
    return std::hash<std::uint64_t>()(C.value());
  }
};
