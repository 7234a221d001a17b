// Resources of workers, tasks and accounts.
#pragma once

#include <compare>
#include <cstdint>

namespace heathercross {

/// The resources that a task needs, a worker has or an account may use.
struct Resources {
  /// Thousandths of a core.
  std::int64_t CpuMilli_ = 0;
  std::int64_t MemoryMb_ = 0;
  std::int64_t Gpus_ = 0;

  bool fits(const Resources &Free) const {
    return CpuMilli_ <= Free.CpuMilli_ && MemoryMb_ <= Free.MemoryMb_ &&
           Gpus_ <= Free.Gpus_;
  }
  Resources &operator+=(const Resources &Other) {
    CpuMilli_ += Other.CpuMilli_;
    MemoryMb_ += Other.MemoryMb_;
    Gpus_ += Other.Gpus_;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    CpuMilli_ -= Other.CpuMilli_;
    MemoryMb_ -= Other.MemoryMb_;
    Gpus_ -= Other.Gpus_;
    return *this;
  }
  auto operator<=>(const Resources &) const = default;
};

} // namespace heathercross
