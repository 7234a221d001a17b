// Strong types for the identifiers that the parts exchange.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace heathercross {

/// A textual identifier that can't be mixed up with one of another kind.
template <class Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Value) : Value_(std::move(Value)) {}

  /// The identifier as it is written in tables, logs and headers.
  const std::string &str() const { return Value_; }
  bool empty() const { return Value_.empty(); }

  auto operator<=>(const Id &) const = default;

private:
  std::string Value_;
};

/// A number that counts one kind of thing, starting at zero for "none yet".
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
using OperatorId = Id<struct OperatorTag>;
using WaveId = Id<struct WaveTag>;
using JobId = Id<struct JobTag>;
/// A caller's request as one entry accepted it.
using RequestId = Id<struct RequestTag>;
/// One try to run a request or job on one worker, or one try at a write.
using AttemptId = Id<struct AttemptTag>;
/// The key by which a caller marks repeats of one and the same request.
using IdempotencyKey = Id<struct IdempotencyTag>;

/// The position of a ticket in the sequence of committed changes.
using TicketNumber = Counter<struct TicketNumberTag>;
/// The version of one row in the platform's table; zero is an absent row.
using RowVersion = Counter<struct RowVersionTag>;
/// The fencing epoch of a lease; each new holder gets a higher one.
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
