// Serves the interface of a worker, with faults that tests inject.
#include "worker.h"

#include <QCryptographicHash>
#include <QJsonDocument>

namespace heathercross::standin {
namespace {

constexpr int AnnounceTimeoutMs = 1000;
constexpr int RetryDelayMs = 200;
constexpr int GoDownDelayMs = 20;
constexpr QByteArrayView PoisonPrefix = "poison ";
constexpr QByteArrayView RunTimePrefix = "run-ms=";

QByteArray compact(const QJsonObject &Object) {
  return QJsonDocument(Object).toJson(QJsonDocument::Compact);
}

QJsonObject parseObject(const QByteArray &Body) {
  return QJsonDocument::fromJson(Body).object();
}

QByteArray bytes(const std::string &Text) {
  return QByteArray::fromStdString(Text);
}

} // namespace

Worker::Worker(WorkerOptions Options, HistoryFile &History)
    : Options_(std::move(Options)), History_(History),
      Tasks_([this](const TaskEvent &E) {
        HistoryLine Line(id(), E.Kind_, E.Job_);
        Line.text("attempt", E.Attempt_)
            .number("epoch", E.Epoch_)
            .text("result", E.Result_);
        History_.write(Line);
      }),
      Random_(Options_.Port_),
      Server_([this](const HttpRequest &Request, const Responder &Respond) {
        handle(Request, Respond);
      }) {
  Server_.setConnectionLimit(Options_.Connections_);
}

bool Worker::start() {
  if (!Server_.listen(Options_.Port_))
    return false;
  Options_.Port_ = Server_.port();
  record("boot", std::to_string(Boot_));
  announce("live");
  return true;
}

void Worker::announce(const QByteArray &State) {
  if (Options_.Platform_.Port_ == 0)
    return;
  const QJsonObject Instance{
      {"id", QString::fromStdString(id())},
      {"zone", QString::fromStdString(Options_.Zone_)},
      {"rack", QString::fromStdString(Options_.Rack_)},
      {"address", "127.0.0.1:" + QString::number(port())},
      {"cores", 32},
      {"memory_mb", 65536},
      {"state", QString::fromLatin1(State)}};
  call(Options_.Platform_, "POST", "/instances", compact(Instance), {},
       AnnounceTimeoutMs, [this, State](const HttpResponse &Response) {
         if (Response.Status_ != 200)
           QTimer::singleShot(RetryDelayMs, this,
                              [this, State] { announce(State); });
       });
}

std::int64_t Worker::clockMs() const {
  return nowMicros() / 1000 + Options_.ClockOffsetMs_;
}

void Worker::record(const char *Kind, const std::string &Detail) {
  HistoryLine Line(id(), Kind, id());
  Line.text("detail", Detail);
  History_.write(Line);
}

bool Worker::drawFault(const char *Kind) {
  if (Fault_ != Kind)
    return false;
  return std::uniform_real_distribution<>(0, 1)(Random_) < FaultProbability_;
}

void Worker::handle(const HttpRequest &Request, const Responder &Respond) {
  if (Request.Path_ == "/run")
    return run(Request, Respond);
  Respond(serve(Request));
}

HttpResponse Worker::serve(const HttpRequest &Request) {
  if (Request.Path_ == "/fence")
    return fence(Request);
  if (Request.Path_ == "/answer")
    return storedAnswer(Request);
  if (Request.Path_ == "/status")
    return status();
  if (Request.Path_ == "/tasks")
    return startTask(Request);
  if (Request.Path_.startsWith("/tasks/"))
    return controlTask(Request);
  if (Request.Path_ == "/drain" || Request.Path_ == "/undrain")
    return setDraining(Request.Path_ == "/drain");
  if (Request.Path_ == "/fault")
    return setFault(Request);
  if (Request.Path_ != "/reboot")
    return jsonResponse(R"({"error":"no-such-path"})", 404);
  QTimer::singleShot(GoDownDelayMs, this,
                     [this] { goDown("reboot", Options_.RebootMs_); });
  return jsonResponse("{}");
}

std::string Worker::blockReason() const {
  if (Leaving_)
    return "leaving";
  if (Draining_)
    return "draining";
  return busy() >= Options_.Slots_ ? "slots" : "";
}

std::string Worker::refusalReason(const HttpRequest &Request,
                                  const std::string &Attempt,
                                  bool OverLimit) const {
  const AttemptState State = Attempts_.state(Attempt);
  if (State == AttemptState::Fenced)
    return "fenced";
  if (State != AttemptState::Unseen)
    return "duplicate";
  if (OverLimit)
    return "connections";
  const std::int64_t StartBy = Request.header("x-start-by").toLongLong();
  if (StartBy > 0 && clockMs() > StartBy)
    return "start-by";
  return blockReason();
}

HttpResponse Worker::refuse(const std::string &Reason,
                            const std::string &Request,
                            const std::string &Attempt) {
  HistoryLine Line(id(), "refuse", Request);
  Line.text("attempt", Attempt).text("reason", Reason);
  History_.write(Line);
  HttpResponse Response = jsonResponse("{}", 503);
  Response.Headers_.emplace_back("X-Refused", bytes(Reason));
  Response.Headers_.emplace_back("X-Request", bytes(Request));
  Response.Headers_.emplace_back("X-Attempt", bytes(Attempt));
  Response.Headers_.emplace_back("X-Busy", QByteArray::number(busy()));
  Response.Headers_.emplace_back("X-Clock", QByteArray::number(clockMs()));
  Response.Close_ = Reason == "connections";
  return Response;
}

/// Returns the run time of a request: N if its body starts with "run-ms=N "
/// (optionally after "poison "), otherwise the declared time.
int Worker::runMs(const HttpRequest &Request) {
  QByteArray Body = Request.Body_;
  if (Body.startsWith(PoisonPrefix))
    Body = Body.mid(PoisonPrefix.size());
  if (!Body.startsWith(RunTimePrefix))
    return Request.header("x-work-ms").toInt();
  const qsizetype From = RunTimePrefix.size();
  return Body.mid(From, Body.indexOf(' ') - From).toInt();
}

void Worker::run(const HttpRequest &Request, const Responder &Respond) {
  const std::string Id = Request.header("x-request").toStdString();
  const std::string Attempt = Request.header("x-attempt").toStdString();
  if (drawFault("close-after-read")) {
    HttpResponse Closed;
    Closed.Fault_ = ResponseFault::CloseWithoutResponse;
    return Respond(Closed);
  }
  const std::string Reason =
      refusalReason(Request, Attempt, Respond.overLimit());
  if (!Reason.empty()) {
    if (Attempts_.state(Attempt) == AttemptState::Unseen)
      Attempts_.set(Attempt, AttemptState::Fenced, clockMs());
    return Respond(refuse(Reason, Id, Attempt));
  }
  Run R;
  R.Request_ = Id;
  R.Attempt_ = Attempt;
  R.Body_ = Request.Body_;
  R.Digest_ =
      QCryptographicHash::hash(Request.Body_, QCryptographicHash::Sha256)
          .toHex();
  R.Keyed_ = Request.header("x-fresh") == "1";
  R.Poison_ =
      Request.header("x-fail") == "1" || Request.Body_.startsWith("poison");
  R.Boot_ = Boot_;
  HistoryLine Line(id(), "start", Id);
  Line.text("attempt", Attempt)
      .text("digest", R.Digest_.toStdString())
      .text("key", Request.header("x-key").toStdString())
      .number("keyed", R.Keyed_ ? 1 : 0);
  History_.write(Line);
  beginRun(R, runMs(Request), Respond);
}

void Worker::beginRun(const Run &R, int WorkMs, const Responder &Respond) {
  Attempts_.set(R.Attempt_, AttemptState::Running, clockMs());
  RunningAttempts_.insert(R.Attempt_);
  ++Running_;
  if (WorkMs <= 0)
    return endRun(R, Respond);
  QTimer::singleShot(WorkMs, this, [this, R, Respond] {
    // A reboot has interrupted the work of earlier boots.
    if (R.Boot_ == Boot_)
      endRun(R, Respond);
  });
}

void Worker::endRun(const Run &R, const Responder &Respond) {
  RunningAttempts_.erase(R.Attempt_);
  --Running_;
  const bool Failed = R.Poison_ || drawFault("fail-all");
  Attempts_.set(R.Attempt_, Failed ? AttemptState::Failed : AttemptState::Done,
                clockMs());
  HistoryLine Line(id(), "end", R.Request_);
  Line.text("attempt", R.Attempt_).text("result", Failed ? "failed" : "done");
  History_.write(Line);
  HttpResponse Response = makeAnswer(R);
  if (Failed) {
    Response.Status_ = 500;
    Response.Headers_.emplace_back("X-Failed", "1");
  }
  if (R.Keyed_)
    Attempts_.storeAnswer(R.Attempt_, Response);
  if (drawFault("truncate"))
    Response.Fault_ = ResponseFault::Truncate;
  if (drawFault("twice"))
    Response.Fault_ = ResponseFault::SendTwice;
  if (drawFault("wrong-request"))
    Response.Headers_.front().second += "-of-another";
  if (drawFault("late"))
    QTimer::singleShot(FaultDelayMs_, this,
                       [Respond, Response] { Respond(Response); });
  else
    Respond(Response);
}

HttpResponse Worker::makeAnswer(const Run &R) const {
  HttpResponse Response;
  Response.Body_ = "ok:" + R.Digest_ + ':' + R.Body_;
  Response.Headers_ = {{"X-Request", bytes(R.Request_)},
                       {"X-Attempt", bytes(R.Attempt_)},
                       {"X-Digest", R.Digest_},
                       {"X-Length", QByteArray::number(Response.Body_.size())},
                       {"X-Busy", QByteArray::number(busy())},
                       {"X-Clock", QByteArray::number(clockMs())},
                       {"Content-Type", "application/octet-stream"}};
  return Response;
}

HttpResponse Worker::fence(const HttpRequest &Request) {
  const std::string Attempt = Request.parameter("attempt").toStdString();
  if (Attempts_.state(Attempt) == AttemptState::Unseen)
    Attempts_.set(Attempt, AttemptState::Fenced, clockMs());
  const char *State = name(Attempts_.state(Attempt));
  HistoryLine Line(id(), "fence", Attempt);
  Line.text("state", State);
  History_.write(Line);
  return jsonResponse(compact({{"state", State}}));
}

HttpResponse Worker::storedAnswer(const HttpRequest &Request) const {
  const HttpResponse *Stored =
      Attempts_.answer(Request.parameter("attempt").toStdString());
  return Stored ? *Stored : jsonResponse(R"({"error":"no-such-answer"})", 404);
}

HttpResponse Worker::status() const {
  return jsonResponse(
      compact({{"id", QString::fromStdString(id())},
               {"boot", static_cast<qint64>(Boot_)},
               {"clock", static_cast<qint64>(clockMs())},
               {"slots", static_cast<qint64>(Options_.Slots_)},
               {"busy", static_cast<qint64>(busy())},
               {"connections", static_cast<qint64>(Server_.connections())},
               {"leaving", Leaving_},
               {"draining", Draining_},
               {"tasks", Tasks_.status()}}));
}

HttpResponse Worker::startTask(const HttpRequest &Request) {
  const QJsonObject Body = parseObject(Request.Body_);
  const std::string Job = Body["job"].toString().toStdString();
  const std::string Attempt = Body["attempt"].toString().toStdString();
  const std::int64_t Epoch = Body["epoch"].toInteger();
  if (Tasks_.isStale(Job, Epoch))
    return refuse("stale-epoch", Job, Attempt);
  if (Tasks_.hasStarted(Job, Epoch) ||
      Attempts_.state(Attempt) == AttemptState::Running)
    return refuse("duplicate", Job, Attempt);
  if (Attempts_.state(Attempt) == AttemptState::Fenced)
    return refuse("fenced", Job, Attempt);
  if (const std::string Reason = blockReason(); !Reason.empty())
    return refuse(Reason, Job, Attempt);
  Attempts_.set(Attempt, AttemptState::Running, clockMs());
  Tasks_.start(Body);
  return jsonResponse("{}");
}

HttpResponse Worker::controlTask(const HttpRequest &Request) {
  const QJsonObject Body = parseObject(Request.Body_);
  TaskReply Reply;
  Reply.Status_ = TaskStatus::NoSuchJob;
  if (Request.Path_ == "/tasks/renew")
    Reply = Tasks_.renew(Body);
  else if (Request.Path_ == "/tasks/stop")
    Reply = Tasks_.stop(Body);
  else if (Request.Path_ == "/tasks/checkpoint")
    Reply = Tasks_.checkpoint(Body);
  else if (Request.Path_ == "/tasks/throttle")
    Reply = Tasks_.throttle(Body);
  if (Reply.Status_ == TaskStatus::NoSuchJob)
    return jsonResponse(R"({"error":"no-such-job"})", 404);
  if (Reply.Status_ == TaskStatus::StaleEpoch)
    return jsonResponse(R"({"error":"stale-epoch"})", 409);
  return jsonResponse(compact(Reply.Body_));
}

HttpResponse Worker::setDraining(bool Draining) {
  Draining_ = Draining;
  record(Draining ? "drain" : "undrain", "");
  return jsonResponse("{}");
}

HttpResponse Worker::setFault(const HttpRequest &Request) {
  const QJsonObject Body = parseObject(Request.Body_);
  const std::string Kind = Body["kind"].toString().toStdString();
  record("fault", Kind);
  if (Kind == "leave") {
    startLeaving();
  } else if (Kind == "die") {
    const int DownMs = Body["ms"].toInt();
    QTimer::singleShot(GoDownDelayMs, this,
                       [this, DownMs] { goDown("die", DownMs); });
  } else {
    Fault_ = Kind;
    FaultProbability_ = Body["share"].toDouble(1);
    FaultDelayMs_ = Body["ms"].toInt();
  }
  return jsonResponse("{}");
}

void Worker::startLeaving() {
  if (std::exchange(Leaving_, true))
    return;
  record("leaving", "");
  announce("leaving");
}

void Worker::goDown(const char *Kind, int DownMs) {
  record(Kind, std::to_string(Boot_));
  for (const std::string &Attempt : RunningAttempts_) {
    HistoryLine Line(id(), "cut", Attempt);
    Line.text("reason", Kind);
    History_.write(Line);
  }
  // Interrupted attempts have started, so they must not be reported as unseen.
  for (const std::string &Attempt : RunningAttempts_)
    Attempts_.set(Attempt, AttemptState::Failed, clockMs());
  RunningAttempts_.clear();
  Running_ = 0;
  Tasks_.cutAll();
  ++Boot_;
  Server_.close();
  if (DownMs > 0)
    QTimer::singleShot(DownMs, this, [this] { restart(); });
}

void Worker::restart() {
  if (!Server_.listen(Options_.Port_)) {
    QTimer::singleShot(RetryDelayMs, this, [this] { restart(); });
    return;
  }
  Draining_ = false;
  record("boot", std::to_string(Boot_));
}

} // namespace heathercross::standin
