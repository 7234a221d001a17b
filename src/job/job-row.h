// Job rows and submissions.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/table.h"
#include "heathercross/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::job {

/// Maximum length of a result in a row, in bytes. Longer results are stored in
/// the object store, and the row contains the object's name.
inline constexpr std::size_t MaxResultLength = 65'536;
/// Maximum declared run time.
inline constexpr Millis MaxRunTime = std::chrono::hours(24 * 7);
/// Maximum declared cores and memory.
inline constexpr std::uint32_t MaxCores = 4'096;
inline constexpr std::uint32_t MaxMemoryMb = 64 * 1024 * 1024;

/// The declared run time and resources of a job, or the resources of an
/// instance.
struct JobSize {
  Millis Work_{0};
  std::uint32_t Cores_ = 0;
  std::uint32_t MemoryMb_ = 0;
  auto operator<=>(const JobSize &) const = default;
};

enum class JobState : std::uint8_t {
  /// Accepted, but not assigned to a worker.
  Waiting,
  /// Assigned to a worker under an epoch.
  Running,
  /// The result is recorded and billed.
  Done,
  Failed,
  Cancelled,
  /// Failed on several workers. Not retried until the team acts.
  SetAside,
};

/// The row "job/ID".
struct JobRow {
  JobId Job_;
  TeamId Team_;
  PoolId Pool_;
  /// SHA-256 of the submission's canonical form, in hex.
  std::string Digest_;
  JobSize Size_;
  JobState State_ = JobState::Waiting;
  /// Increases with each assignment to a worker. Workers refuse lower epochs.
  Epoch Epoch_;
  InstanceId Worker_;
  AttemptId Attempt_;
  /// The distinct workers on which the job failed.
  std::vector<InstanceId> FailedOn_;
  /// How often the job was billed: 0 or 1.
  std::uint32_t Bills_ = 0;
  /// The name of the checkpoint object to resume from, or empty.
  std::string Checkpoint_;
  /// The result, or the name of the object that holds it.
  std::string Result_;
  bool operator==(const JobRow &) const = default;
};

inline constexpr std::string_view JobPrefix = "job/";

/// Returns the table key of a job's row.
std::string rowKey(const JobId &Job);
std::string encode(const JobRow &Job);
/// Decodes the value of a job's row. Throws FormatError.
JobRow decodeJobRow(std::string_view Text);

/// Whether the job can't change its state any more.
bool isFinal(JobState S);
std::string_view name(JobState S);

/// A job as a team submits it: the body of POST /v1/jobs.
struct JobSpec {
  JobId Job_;
  PoolId Pool_;
  JobSize Size_;
};

/// Decodes the body of POST /v1/jobs. Throws FormatError.
JobSpec decodeJobSpec(std::string_view Body);
/// Decodes the body of POST /v1/jobs/cancel. Throws FormatError.
std::vector<JobId> decodeCancellation(std::string_view Body);
/// Returns the SHA-256 of a submission's canonical form, in hex.
std::string digestOf(const JobSpec &Spec);

} // namespace heathercross::job
