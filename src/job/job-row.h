// Overnight runs as their rows hold them.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/table.h"
#include "heathercross/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::job {

/// The longest result that a row holds, in bytes. The shell puts longer ones
/// into the object store and the object's name into the row.
inline constexpr std::size_t MaxResultLength = 65'536;
/// The longest run time that may be declared.
inline constexpr Millis MaxWork = std::chrono::hours(24 * 7);
/// The most cores and memory that may be declared.
inline constexpr std::uint32_t MaxCores = 4'096;
inline constexpr std::uint32_t MaxMemoryMb = 64 * 1024 * 1024;

/// What a job declares to need.
struct JobSize {
  Millis Work_{0};
  std::uint32_t Cores_ = 0;
  std::uint32_t MemoryMb_ = 0;
  auto operator<=>(const JobSize &) const = default;
};

enum class JobState : std::uint8_t {
  /// Accepted; no worker yet, or none any more.
  Waiting,
  /// Given to a worker under an epoch.
  Running,
  /// Its result is recorded, and billed.
  Done,
  Failed,
  Cancelled,
  /// It failed on several workers and waits for its team.
  SetAside,
};

/// The row "job/ID".
struct JobRow {
  JobId Job_;
  TeamId Team_;
  PoolId Pool_;
  /// SHA-256 of what was submitted, in hex.
  std::string Digest_;
  JobSize Size_;
  JobState State_ = JobState::Waiting;
  /// Goes up with each worker that it is given to; workers refuse lower ones.
  Epoch Epoch_;
  InstanceId Worker_;
  AttemptId Attempt_;
  /// The distinct workers on which it failed.
  std::vector<InstanceId> FailedOn_;
  /// How often it was billed: 0 or 1.
  std::uint32_t Bills_ = 0;
  /// The object from which it goes on, or empty.
  std::string Checkpoint_;
  /// The result, or the name of the object that holds it.
  std::string Result_;
  bool operator==(const JobRow &) const = default;
};

inline constexpr std::string_view JobPrefix = "job/";

/// The table's key for a job.
std::string rowKey(const JobId &Job);
std::string encode(const JobRow &Job);
/// Reads the value of a job's row. Throws FormatError.
JobRow decodeJobRow(std::string_view Text);

/// Whether nothing will happen to the job any more.
bool isFinal(JobState S);
std::string_view name(JobState S);

/// A job as a team submits it: the body of POST /v1/jobs.
struct JobSpec {
  JobId Job_;
  PoolId Pool_;
  JobSize Size_;
};

/// Throws FormatError.
JobSpec decodeJobSpec(std::string_view Body);
/// Reads the body of POST /v1/jobs/cancel. Throws FormatError.
std::vector<JobId> decodeCancellation(std::string_view Body);
/// SHA-256 of a submission's canonical form, in hex.
std::string digestOf(const JobSpec &Spec);

} // namespace heathercross::job
