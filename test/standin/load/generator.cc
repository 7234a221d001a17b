// Sends the requests of a run at their due times and records their outcomes.
#include "generator.h"

#include <QCryptographicHash>
#include <QTimer>

#include <algorithm>
#include <cmath>
#include <sys/timerfd.h>
#include <unistd.h>

namespace heathercross::standin {
namespace {

constexpr int AnswerGraceMs = 1000;
constexpr int RepeatDelayMs = 150;
constexpr int MaxTries = 40;
constexpr int RetryIntervalMs = 10;

QByteArray bytes(const std::string &Text) {
  return QByteArray::fromStdString(Text);
}

std::string headerValue(const HttpResponse &Response, const char *Name) {
  for (const auto &[Key, Value] : Response.Headers_)
    if (Key == Name)
      return Value.toStdString();
  return {};
}

const char *name(TransportResult Result) {
  switch (Result) {
  case TransportResult::Refused:
    return "refused";
  case TransportResult::Cut:
    return "cut";
  case TransportResult::TimedOut:
    return "timeout";
  case TransportResult::Answered:
    break;
  }
  return "answered";
}

} // namespace

Generator::Generator(const LoadOptions &Options, HistoryFile &History)
    : Options_(Options), History_(History), Arrivals_(Options),
      Balancer_(Options), Random_(Options.Seed_ + 1),
      TimerDescriptor_(
          ::timerfd_create(CLOCK_REALTIME, TFD_NONBLOCK | TFD_CLOEXEC)),
      Timer_(TimerDescriptor_, QSocketNotifier::Read) {
  connect(&Timer_, &QSocketNotifier::activated, this, [this] { onTimer(); });
  connect(&RetryTimer_, &QTimer::timeout, this, [this] { sendWaiting(); });
}

Generator::~Generator() { ::close(TimerDescriptor_); }

void Generator::start(std::function<void()> Finished) {
  Finished_ = std::move(Finished);
  if (!Options_.Direct_)
    Balancer_.startPolling();
  StartUs_ = nowMicros();
  NextArrival_ = Arrivals_.next();
  setTimer();
}

void Generator::setTimer() {
  const std::int64_t DueUs = StartUs_ + NextArrival_.TimeUs_;
  itimerspec When{};
  When.it_value.tv_sec = DueUs / 1'000'000;
  When.it_value.tv_nsec = DueUs % 1'000'000 * 1000;
  ::timerfd_settime(TimerDescriptor_, TFD_TIMER_ABSTIME, &When, nullptr);
}

void Generator::onTimer() {
  std::uint64_t Expirations = 0;
  if (::read(TimerDescriptor_, &Expirations, sizeof Expirations) < 0)
    return;
  const auto End = static_cast<std::int64_t>(Options_.Seconds_ * 1e6);
  const std::int64_t Now = nowMicros() - StartUs_;
  while (NextArrival_.TimeUs_ <= Now && NextArrival_.TimeUs_ < End) {
    ++Unfinished_;
    submit(makeRequest(NextArrival_));
    NextArrival_ = Arrivals_.next();
  }
  if (NextArrival_.TimeUs_ < End)
    return setTimer();
  Timer_.setEnabled(false);
  finishIfDone();
}

int Generator::drawDeclaredMs() {
  std::uniform_real_distribution<> Exponent(-1, 1);
  const double Factor = std::pow(Options_.DeclaredSpread_, Exponent(Random_));
  return static_cast<int>(std::lround(Options_.WorkMs_ * Factor));
}

Generator::RequestPtr Generator::makeRequest(const Arrival &A) {
  auto R = std::make_shared<LoadRequest>();
  const std::string Number = std::to_string(Sequence_++);
  R->Id_ = Options_.Name_ + '-' + Number;
  R->Pool_ = A.Pool_;
  R->DueUs_ = StartUs_ + A.TimeUs_;
  std::uniform_real_distribution<> Uniform(0, 1);
  if (Uniform(Random_) < Options_.KeyedShare_)
    R->Key_ = "key-" + R->Id_ + '-' + std::to_string(StartUs_);
  if (Uniform(Random_) < Options_.PoisonShare_)
    R->Body_ = "poison ";
  R->DeclaredMs_ = Options_.WorkMs_;
  if (Options_.DeclaredSpread_ > 1) {
    R->Body_ += "run-ms=" + QByteArray::number(Options_.WorkMs_) + ' ';
    R->DeclaredMs_ = drawDeclaredMs();
  }
  R->Body_ += bytes(R->Id_ + '@' + std::to_string(StartUs_) + ' ');
  const auto Size = static_cast<qsizetype>(Options_.BodyBytes_);
  R->Body_ = R->Body_.leftJustified(Size, '.');
  R->Digest_ =
      QCryptographicHash::hash(R->Body_, QCryptographicHash::Sha256).toHex();
  return R;
}

void Generator::submit(const RequestPtr &R) {
  std::size_t Target = 0;
  Channel *C = Balancer_.selectChannel(Target, R->LastTarget_);
  if (C)
    return send(R, *C, Target);
  Waiting_.push_back(R);
  if (!RetryTimer_.isActive())
    RetryTimer_.start(RetryIntervalMs);
}

void Generator::sendWaiting() {
  std::size_t Target = 0;
  while (!Waiting_.empty()) {
    const RequestPtr R = Waiting_.front();
    Channel *C = Balancer_.selectChannel(Target, R->LastTarget_);
    if (!C)
      break;
    Waiting_.pop_front();
    send(R, *C, Target);
  }
  if (Waiting_.empty())
    RetryTimer_.stop();
}

QByteArray Generator::encodeRequest(const LoadRequest &R) const {
  QByteArray Out;
  Out.reserve(512 + R.Body_.size());
  if (Options_.Direct_)
    Out += "POST /run HTTP/1.1\r\nX-Request: " + bytes(R.Id_) +
           "\r\nX-Attempt: " + bytes(R.Id_) + '-' +
           QByteArray::number(R.DueUs_) + '-' + QByteArray::number(R.Tries_);
  else
    Out += "POST /v1/requests/" + bytes(Options_.Pools_[R.Pool_]) +
           " HTTP/1.1\r\nAuthorization: Bearer " + bytes(Options_.Token_) +
           "\r\nX-Window-Ms: " + QByteArray::number(Options_.WindowMs_) +
           "\r\nX-Urgency: " + bytes(Options_.Urgency_);
  if (!R.Key_.empty())
    Out += "\r\nIdempotency-Key: " + bytes(R.Key_);
  Out += "\r\nHost: entry\r\nX-Work-Ms: " + QByteArray::number(R.DeclaredMs_) +
         "\r\nContent-Length: " + QByteArray::number(R.Body_.size()) +
         "\r\n\r\n" + R.Body_;
  return Out;
}

void Generator::send(const RequestPtr &R, Channel &C, std::size_t Target) {
  ++R->Tries_;
  Summary_.addTry();
  recordSent(*R, Target);
  C.send(
      encodeRequest(*R), Options_.WindowMs_ + AnswerGraceMs,
      [this, R, Target](TransportResult Result, const HttpResponse &Response) {
        onEnded(R, Target, Result, Response);
      });
}

Outcome Generator::makeOutcome(const LoadRequest &R, TransportResult Result,
                               const HttpResponse &Response) const {
  Outcome O;
  O.LatencyUs_ = nowMicros() - R.DueUs_;
  O.WithinWindow_ = O.LatencyUs_ <= Options_.WindowMs_ * std::int64_t{1000};
  if (Result != TransportResult::Answered) {
    O.Outcome_ = name(Result);
    return O;
  }
  O.Outcome_ = headerValue(Response, "x-outcome");
  O.Reason_ = headerValue(Response, "x-reason");
  if (O.Outcome_.empty())
    O.Outcome_ = Options_.Direct_ && Response.Status_ == 200
                     ? "done"
                     : "http-" + std::to_string(Response.Status_);
  if (Options_.Direct_ && O.Outcome_ != "done")
    O.Reason_ = headerValue(Response, "x-refused");
  if (O.Outcome_ == "done")
    O.OwnAnswer_ = Response.Body_ == "ok:" + R.Digest_ + ':' + R.Body_;
  return O;
}

bool Generator::shouldRepeat(const LoadRequest &R, const Outcome &O) const {
  if (O.Outcome_ == "refused")
    return R.Tries_ < MaxTries;
  if (!Options_.RepeatKeyed_ || R.Key_.empty() || R.Tries_ >= MaxTries)
    return false;
  if (O.Outcome_ == "done" || O.Outcome_ == "failed")
    return false;
  // "not-run" describes only this try; an earlier one may have run.
  return O.Outcome_ != "not-run" || R.MayHaveRun_;
}

void Generator::onEnded(const RequestPtr &R, std::size_t Target,
                        TransportResult Result, const HttpResponse &Response) {
  const Outcome O = makeOutcome(*R, Result, Response);
  recordAnswer(*R, Target, O, Response);
  if (Result == TransportResult::Refused && !Options_.Direct_)
    Balancer_.markNotReady(Target);
  const bool DidNotRun = O.Outcome_ == "not-run" || O.Outcome_ == "refused";
  R->MayHaveRun_ |= !DidNotRun;
  if (shouldRepeat(*R, O)) {
    R->LastTarget_ = Target;
    QTimer::singleShot(Result == TransportResult::Refused ? 1 : RepeatDelayMs,
                       this, [this, R] { submit(R); });
    return;
  }
  Summary_.add(O);
  --Unfinished_;
  sendWaiting();
  finishIfDone();
}

void Generator::finishIfDone() {
  if (Unfinished_ == 0 && !Timer_.isEnabled() && Finished_)
    std::exchange(Finished_, nullptr)();
}

void Generator::recordSent(const LoadRequest &R, std::size_t Target) {
  if (!History_.enabled())
    return;
  HistoryLine Line(Options_.Name_, "sent", R.Id_);
  Line.text("pool", Options_.Pools_[R.Pool_])
      .text("key", R.Key_)
      .text("digest", R.Digest_.toStdString())
      .number("try", R.Tries_)
      .number("due", R.DueUs_)
      .number("port", Options_.Targets_[Target].Port_);
  History_.write(Line);
}

void Generator::recordAnswer(const LoadRequest &R, std::size_t Target,
                             const Outcome &O, const HttpResponse &Response) {
  if (!History_.enabled())
    return;
  HistoryLine Line(Options_.Name_, "answer", R.Id_);
  Line.text("outcome", O.Outcome_)
      .text("reason", O.Reason_)
      .text("request", headerValue(Response, "x-request"))
      .text("key", R.Key_)
      .text("digest", R.Digest_.toStdString())
      .number("own", O.OwnAnswer_ ? 1 : 0)
      .number("try", R.Tries_)
      .number("within", O.WithinWindow_ ? 1 : 0)
      .number("took_us", O.LatencyUs_)
      .number("port", Options_.Targets_[Target].Port_);
  History_.write(Line);
}

} // namespace heathercross::standin
