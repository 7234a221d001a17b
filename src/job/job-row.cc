// Encoding and decoding of job rows and submissions.
#include "job/job-row.h"

#include "core/json-node.h"
#include "heathercross/outcome.h"

#include <QCryptographicHash>
#include <QJsonArray>

namespace heathercross::job {

namespace {

constexpr Bytes MaxRowSize = 256_KiB;
/// Maximum number of workers in a row's field failed_on.
constexpr std::size_t MaxFailedOn = 64;
/// Maximum length of attempt ids and object names, in bytes.
constexpr std::size_t MaxTokenLength = 256;
/// Maximum number of jobs in a cancellation.
constexpr std::size_t MaxCancelled = 10'000;
constexpr std::uint64_t MaxEpoch = std::uint64_t{1} << 53;

constexpr heathercross::detail::Names<JobState, 6> StateNames{{
    {JobState::Waiting, "waiting"},
    {JobState::Running, "running"},
    {JobState::Done, "done"},
    {JobState::Failed, "failed"},
    {JobState::Cancelled, "cancelled"},
    {JobState::SetAside, "set-aside"},
}};

JobState parseState(const JsonNode &Place) {
  const auto State =
      heathercross::detail::valueOf(StateNames, Place.text(MaxNameLength));
  if (!State)
    Place.fail("not a valid job state");
  return *State;
}

JobSize parseSize(const JsonNode &Place) {
  const auto MaxRunTimeMs = static_cast<std::uint64_t>(MaxRunTime.count());
  JobSize S;
  S.Work_ = Millis(Place.field("work_ms").number(0, MaxRunTimeMs));
  S.Cores_ =
      static_cast<std::uint32_t>(Place.field("cores").number(0, MaxCores));
  S.MemoryMb_ = static_cast<std::uint32_t>(
      Place.field("memory_mb").number(0, MaxMemoryMb));
  return S;
}

QJsonObject toJson(const JobSize &S) {
  return {{"work_ms", static_cast<qint64>(S.Work_.count())},
          {"cores", jsonValue(std::uint64_t{S.Cores_})},
          {"memory_mb", jsonValue(std::uint64_t{S.MemoryMb_})}};
}

std::string textOrEmpty(const JsonNode &Place, std::string_view Name,
                        std::size_t Max) {
  const auto Found = Place.find(Name);
  return Found ? Found->text(Max) : std::string();
}

} // namespace

std::string rowKey(const JobId &Job) {
  return std::string(JobPrefix) + Job.str();
}

std::string_view name(JobState S) {
  return heathercross::detail::nameOf(StateNames, S);
}

bool isFinal(JobState S) {
  return S != JobState::Waiting && S != JobState::Running;
}

std::string encode(const JobRow &Job) {
  QJsonArray FailedOn;
  for (const InstanceId &I : Job.FailedOn_)
    FailedOn.append(jsonValue(I.str()));
  return jsonText({{"id", jsonValue(Job.Job_.str())},
                   {"team", jsonValue(Job.Team_.str())},
                   {"pool", jsonValue(Job.Pool_.str())},
                   {"digest", jsonValue(Job.Digest_)},
                   {"size", toJson(Job.Size_)},
                   {"state", jsonValue(name(Job.State_))},
                   {"epoch", jsonValue(Job.Epoch_.value())},
                   {"worker", jsonValue(Job.Worker_.str())},
                   {"attempt", jsonValue(Job.Attempt_.str())},
                   {"failed_on", FailedOn},
                   {"bills", jsonValue(std::uint64_t{Job.Bills_})},
                   {"checkpoint", jsonValue(Job.Checkpoint_)},
                   {"result", jsonValue(Job.Result_)}});
}

JobRow decodeJobRow(std::string_view Text) {
  const JsonNode Place = JsonNode::parse(Text, MaxRowSize);
  JobRow Job;
  Job.Job_ = Place.field("id").id<JobId>();
  Job.Team_ = Place.field("team").id<TeamId>();
  Job.Pool_ = Place.field("pool").id<PoolId>();
  Job.Digest_ = Place.field("digest").name();
  Job.Size_ = parseSize(Place.field("size"));
  Job.State_ = parseState(Place.field("state"));
  Job.Epoch_ = Epoch(Place.field("epoch").number(0, MaxEpoch));
  Job.Worker_ = Place.field("worker").idOrEmpty<InstanceId>();
  Job.Attempt_ = AttemptId(Place.field("attempt").text(MaxTokenLength));
  for (const JsonNode &I : Place.field("failed_on").items(MaxFailedOn))
    Job.FailedOn_.push_back(I.id<InstanceId>());
  Job.Bills_ = static_cast<std::uint32_t>(Place.field("bills").number(0, 1));
  Job.Checkpoint_ = textOrEmpty(Place, "checkpoint", MaxTokenLength);
  Job.Result_ = textOrEmpty(Place, "result", MaxResultLength);
  return Job;
}

JobSpec decodeJobSpec(std::string_view Body) {
  const JsonNode Place = JsonNode::parse(Body, MaxRowSize);
  Place.allowOnly({"id", "pool", "work_ms", "cores", "memory_mb"});
  return {Place.field("id").id<JobId>(), Place.field("pool").id<PoolId>(),
          parseSize(Place)};
}

std::vector<JobId> decodeCancellation(std::string_view Body) {
  const JsonNode Place = JsonNode::parse(Body, 1_MiB);
  Place.allowOnly({"ids"});
  std::vector<JobId> Jobs;
  for (const JsonNode &Item : Place.field("ids").items(MaxCancelled))
    Jobs.push_back(Item.id<JobId>());
  return Jobs;
}

std::string digestOf(const JobSpec &Spec) {
  QJsonObject Text = toJson(Spec.Size_);
  Text["pool"] = jsonValue(Spec.Pool_.str());
  const auto Bytes = QByteArray::fromStdString(jsonText(Text));
  return QCryptographicHash::hash(Bytes, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

} // namespace heathercross::job
