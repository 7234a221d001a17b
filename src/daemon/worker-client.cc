// Calls to workers, and the interpretation of their replies.
#include "daemon/worker-client.h"

#include <QJsonDocument>
#include <QTimer>

#include <algorithm>
#include <charconv>
#include <ranges>

namespace heathercross::daemon {

using request::FenceResult;
using request::Refusal;
using request::TryResult;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusWorkFailed = 500;
constexpr int StatusRefused = 503;
constexpr Millis ControlTimeout{1000};

struct RefusalName {
  std::string_view Text_;
  Refusal Refusal_;
};
constexpr RefusalName RefusalNames[] = {
    {"slots", Refusal::Full},         {"connections", Refusal::Full},
    {"leaving", Refusal::Leaving},    {"draining", Refusal::Leaving},
    {"start-by", Refusal::TooLate},   {"fenced", Refusal::Fenced},
    {"duplicate", Refusal::Duplicate}};

Refusal parseRefusal(std::string_view Text) {
  const auto *It = std::ranges::find(RefusalNames, Text, &RefusalName::Text_);
  return It == std::end(RefusalNames) ? Refusal::None : It->Refusal_;
}

std::int64_t parseNumber(std::string_view Text) {
  std::int64_t Value = -1;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::optional<request::WorkerReport> parseReport(const InstanceId &Worker,
                                                 const http::Reply &R) {
  const std::int64_t Busy = parseNumber(R.header("X-Busy"));
  if (Busy < 0)
    return std::nullopt;
  request::WorkerReport Report;
  Report.Worker_ = Worker;
  Report.Busy_ = {static_cast<std::uint32_t>(Busy)};
  Report.ClockMs_ = std::max<std::int64_t>(0, parseNumber(R.header("X-Clock")));
  Report.Leaving_ = R.header("X-Refused") == "leaving";
  Report.Draining_ = R.header("X-Refused") == "draining";
  return Report;
}

/// Whether a reply belongs to this attempt and is complete.
bool isCompleteAnswer(const RunCall &Call, const http::Reply &R) {
  return R.header("X-Request") == Call.Request_.str() &&
         R.header("X-Attempt") == Call.Attempt_.str() &&
         R.header("X-Digest") == Call.Digest_ &&
         parseNumber(R.header("X-Length")) == R.Body_.size();
}

AttemptReply classifyReply(const RunCall &Call, const http::Reply &R) {
  AttemptReply T;
  T.Took_ = R.Elapsed_;
  T.Report_ = parseReport(Call.Worker_, R);
  if (R.Delivery_ == http::Delivery::NeverSent)
    T.Result_ = TryResult::NeverSent;
  if (R.Delivery_ != http::Delivery::Answered)
    return T;
  if (R.Status_ == StatusOk && isCompleteAnswer(Call, R)) {
    T.Result_ = TryResult::Answered;
    T.Body_ = R.Body_;
  }
  if (R.Status_ == StatusWorkFailed && R.header("X-Failed") == "1") {
    T.Result_ = TryResult::WorkFailed;
    T.Body_ = R.Body_;
  }
  // A refusal concerns the last copy of the call only; an earlier copy may run.
  const bool SentOnce = R.Sent_ <= 1;
  if (SentOnce && R.Status_ == StatusRefused &&
      !R.header("X-Refused").empty()) {
    T.Result_ = TryResult::Refused;
    T.Refusal_ = parseRefusal(R.header("X-Refused"));
  }
  return T;
}

FenceResult parseFenceResult(const http::Reply &R) {
  if (R.Delivery_ != http::Delivery::Answered || R.Status_ != StatusOk)
    return FenceResult::NoAnswer;
  const QString State =
      QJsonDocument::fromJson(R.Body_).object()["state"].toString();
  if (State == "fenced")
    return FenceResult::Fenced;
  if (State == "running")
    return FenceResult::Running;
  if (State == "done")
    return FenceResult::Done;
  return State == "failed" ? FenceResult::Failed : FenceResult::NoAnswer;
}

} // namespace

void WorkerClient::setAddresses(std::map<InstanceId, std::string> Addresses) {
  Addresses_ = std::move(Addresses);
}

bool WorkerClient::hasAddress(const InstanceId &Worker) const {
  return Addresses_.contains(Worker);
}

void WorkerClient::send(const InstanceId &Worker, http::Call C,
                        const std::string &Path, http::Client::Done OnDone) {
  const auto It = Addresses_.find(Worker);
  const bool Reachable = It != Addresses_.end() &&
                         std::ranges::find(BlockedAddresses_, It->second) ==
                             BlockedAddresses_.end();
  if (!Reachable) {
    http::Reply Unsent;
    Unsent.Delivery_ = http::Delivery::NeverSent;
    QTimer::singleShot(
        0, [OnDone = std::move(OnDone), Unsent] { OnDone(Unsent); });
    return;
  }
  C.Url_ = "http://" + It->second + Path;
  Http_.send(std::move(C), std::move(OnDone));
}

void WorkerClient::run(const RunCall &Call,
                       std::function<void(const AttemptReply &)> OnDone) {
  http::Call C;
  C.Method_ = "POST";
  C.Headers_ = {"X-Request: " + Call.Request_.str(),
                "X-Attempt: " + Call.Attempt_.str(),
                "X-Start-By: " + std::to_string(Call.StartByMs_),
                "Content-Type: application/octet-stream"};
  if (!Call.WorkMs_.isEmpty())
    C.Headers_.push_back("X-Work-Ms: " + Call.WorkMs_.toStdString());
  if (Call.Fresh_)
    C.Headers_.emplace_back("X-Fresh: 1");
  std::ranges::copy(Call.ForwardedHeaders_, std::back_inserter(C.Headers_));
  C.Body_ = Call.Body_;
  C.NewConnection_ = Call.Fresh_;
  C.Timeout_ = Call.Timeout_;
  RunCall CallWithoutBody = Call;
  CallWithoutBody.Body_.clear();
  send(Call.Worker_, std::move(C), "/run",
       [CallWithoutBody = std::move(CallWithoutBody),
        OnDone = std::move(OnDone)](const http::Reply &R) {
         OnDone(classifyReply(CallWithoutBody, R));
       });
}

void WorkerClient::fetchAnswer(
    const RunCall &Call, std::function<void(const AttemptReply &)> OnDone) {
  http::Call C;
  C.Timeout_ = Call.Timeout_;
  send(Call.Worker_, std::move(C), "/answer?attempt=" + Call.Attempt_.str(),
       [Call, OnDone = std::move(OnDone)](const http::Reply &R) {
         // The stored answer carries the id of the request that ran the
         // attempt, which may differ from the one that fetches it.
         RunCall Original = Call;
         Original.Request_ = RequestId(std::string(R.header("X-Request")));
         OnDone(classifyReply(Original, R));
       });
}

void WorkerClient::fence(const InstanceId &Worker, const AttemptId &Attempt,
                         std::function<void(FenceResult)> OnDone) {
  http::Call C;
  C.Method_ = "POST";
  C.Timeout_ = ControlTimeout;
  send(Worker, std::move(C), "/fence?attempt=" + Attempt.str(),
       [OnDone = std::move(OnDone)](const http::Reply &R) {
         OnDone(parseFenceResult(R));
       });
}

void WorkerClient::status(const InstanceId &Worker,
                          std::function<void(const StatusReply &)> OnDone) {
  http::Call C;
  C.Timeout_ = ControlTimeout;
  send(Worker, std::move(C), "/status",
       [OnDone = std::move(OnDone)](const http::Reply &R) {
         const bool Answered =
             R.Delivery_ == http::Delivery::Answered && R.Status_ == StatusOk;
         OnDone({Answered, QJsonDocument::fromJson(R.Body_).object()});
       });
}

void WorkerClient::post(const InstanceId &Worker, const std::string &Path,
                        const QJsonObject &Body, http::Client::Done OnDone) {
  http::Call C;
  C.Method_ = "POST";
  C.Timeout_ = ControlTimeout;
  C.Body_ = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  send(Worker, std::move(C), Path, std::move(OnDone));
}

} // namespace heathercross::daemon
