// Sends the requests of a run when they are due and records what came of them.
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
constexpr int RepeatPauseMs = 150;
constexpr int TriesMax = 40;
constexpr int RetryWaitingMs = 10;

QByteArray bytes(const std::string &Text) {
  return QByteArray::fromStdString(Text);
}

std::string fieldOf(const HttpResponse &Response, const char *Name) {
  for (const auto &[Key, Value] : Response.Headers_)
    if (Key == Name)
      return Value.toStdString();
  return {};
}

const char *name(Transport How) {
  switch (How) {
  case Transport::Refused:
    return "refused";
  case Transport::Cut:
    return "cut";
  case Transport::TimedOut:
    return "timeout";
  case Transport::Answered:
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
  connect(&Timer_, &QSocketNotifier::activated, this, [this] { wake(); });
  connect(&WaitingTimer_, &QTimer::timeout, this, [this] { drainWaiting(); });
}

Generator::~Generator() { ::close(TimerDescriptor_); }

void Generator::start(std::function<void()> Finished) {
  Finished_ = std::move(Finished);
  if (!Options_.Direct_)
    Balancer_.watchReadiness();
  StartUs_ = nowMicros();
  Next_ = Arrivals_.next();
  arm();
}

void Generator::arm() {
  const std::int64_t At = StartUs_ + Next_.At_;
  itimerspec When{};
  When.it_value.tv_sec = At / 1'000'000;
  When.it_value.tv_nsec = At % 1'000'000 * 1000;
  ::timerfd_settime(TimerDescriptor_, TFD_TIMER_ABSTIME, &When, nullptr);
}

void Generator::wake() {
  std::uint64_t Expirations = 0;
  if (::read(TimerDescriptor_, &Expirations, sizeof Expirations) < 0)
    return;
  const auto End = static_cast<std::int64_t>(Options_.Seconds_ * 1e6);
  const std::int64_t Now = nowMicros() - StartUs_;
  while (Next_.At_ <= Now && Next_.At_ < End) {
    ++Open_;
    submit(makeJob(Next_));
    Next_ = Arrivals_.next();
  }
  if (Next_.At_ < End)
    return arm();
  Timer_.setEnabled(false);
  finishIfDone();
}

int Generator::drawDeclared() {
  std::uniform_real_distribution<> Exponent(-1, 1);
  const double Factor = std::pow(Options_.DeclaredSpread_, Exponent(Random_));
  return static_cast<int>(std::lround(Options_.WorkMs_ * Factor));
}

Generator::JobPtr Generator::makeJob(const Arrival &A) {
  auto J = std::make_shared<Job>();
  const std::string Number = std::to_string(Sequence_++);
  J->Id_ = Options_.Name_ + '-' + Number;
  J->Pool_ = A.Pool_;
  J->DueUs_ = StartUs_ + A.At_;
  std::uniform_real_distribution<> Uniform(0, 1);
  if (Uniform(Random_) < Options_.KeyedShare_)
    J->Key_ = "key-" + J->Id_ + '-' + std::to_string(StartUs_);
  if (Uniform(Random_) < Options_.PoisonShare_)
    J->Body_ = "poison ";
  J->DeclaredMs_ = Options_.WorkMs_;
  if (Options_.DeclaredSpread_ > 1) {
    J->Body_ += "run-ms=" + QByteArray::number(Options_.WorkMs_) + ' ';
    J->DeclaredMs_ = drawDeclared();
  }
  J->Body_ += bytes(J->Id_ + '@' + std::to_string(StartUs_) + ' ');
  const auto Size = static_cast<qsizetype>(Options_.BodyBytes_);
  J->Body_ = J->Body_.leftJustified(Size, '.');
  J->Digest_ =
      QCryptographicHash::hash(J->Body_, QCryptographicHash::Sha256).toHex();
  return J;
}

void Generator::submit(const JobPtr &J) {
  std::size_t Target = 0;
  Channel *C = Balancer_.take(Target, J->LastTarget_);
  if (C)
    return send(J, *C, Target);
  Waiting_.push_back(J);
  if (!WaitingTimer_.isActive())
    WaitingTimer_.start(RetryWaitingMs);
}

void Generator::drainWaiting() {
  std::size_t Target = 0;
  while (!Waiting_.empty()) {
    const JobPtr J = Waiting_.front();
    Channel *C = Balancer_.take(Target, J->LastTarget_);
    if (!C)
      break;
    Waiting_.pop_front();
    send(J, *C, Target);
  }
  if (Waiting_.empty())
    WaitingTimer_.stop();
}

QByteArray Generator::encodeRequest(const Job &J) const {
  QByteArray Out;
  Out.reserve(512 + J.Body_.size());
  if (Options_.Direct_)
    Out += "POST /run HTTP/1.1\r\nX-Request: " + bytes(J.Id_) +
           "\r\nX-Attempt: " + bytes(J.Id_) + '-' +
           QByteArray::number(J.DueUs_) + '-' + QByteArray::number(J.Tries_);
  else
    Out += "POST /v1/requests/" + bytes(Options_.Pools_[J.Pool_]) +
           " HTTP/1.1\r\nAuthorization: Bearer " + bytes(Options_.Token_) +
           "\r\nX-Window-Ms: " + QByteArray::number(Options_.WindowMs_) +
           "\r\nX-Urgency: " + bytes(Options_.Urgency_);
  if (!J.Key_.empty())
    Out += "\r\nIdempotency-Key: " + bytes(J.Key_);
  Out += "\r\nHost: entry\r\nX-Work-Ms: " + QByteArray::number(J.DeclaredMs_) +
         "\r\nContent-Length: " + QByteArray::number(J.Body_.size()) +
         "\r\n\r\n" + J.Body_;
  return Out;
}

void Generator::send(const JobPtr &J, Channel &C, std::size_t Target) {
  ++J->Tries_;
  Summary_.addTry();
  recordSent(*J, Target);
  C.send(encodeRequest(*J), Options_.WindowMs_ + AnswerGraceMs,
         [this, J, Target](Transport How, const HttpResponse &Response) {
           ended(J, Target, How, Response);
         });
}

Ending Generator::endingOf(const Job &J, Transport How,
                           const HttpResponse &Response) const {
  Ending E;
  E.TookUs_ = nowMicros() - J.DueUs_;
  E.WithinWindow_ = E.TookUs_ <= Options_.WindowMs_ * std::int64_t{1000};
  if (How != Transport::Answered) {
    E.Outcome_ = name(How);
    return E;
  }
  E.Outcome_ = fieldOf(Response, "x-outcome");
  E.Reason_ = fieldOf(Response, "x-reason");
  if (E.Outcome_.empty())
    E.Outcome_ = Options_.Direct_ && Response.Status_ == 200
                     ? "done"
                     : "http-" + std::to_string(Response.Status_);
  if (Options_.Direct_ && E.Outcome_ != "done")
    E.Reason_ = fieldOf(Response, "x-refused");
  if (E.Outcome_ == "done")
    E.OwnAnswer_ = Response.Body_ == "ok:" + J.Digest_ + ':' + J.Body_;
  return E;
}

bool Generator::repeats(const Job &J, const Ending &E) const {
  if (E.Outcome_ == "refused")
    return J.Tries_ < TriesMax;
  if (!Options_.RepeatKeyed_ || J.Key_.empty() || J.Tries_ >= TriesMax)
    return false;
  if (E.Outcome_ == "done" || E.Outcome_ == "failed")
    return false;
  // Not run speaks of one try; an earlier one may still have run.
  return E.Outcome_ != "not-run" || J.Unsettled_;
}

void Generator::ended(const JobPtr &J, std::size_t Target, Transport How,
                      const HttpResponse &Response) {
  const Ending E = endingOf(*J, How, Response);
  recordEnd(*J, Target, E, Response);
  if (How == Transport::Refused && !Options_.Direct_)
    Balancer_.refused(Target);
  const bool TryIsSettled = E.Outcome_ == "not-run" || E.Outcome_ == "refused";
  J->Unsettled_ |= !TryIsSettled;
  if (repeats(*J, E)) {
    J->LastTarget_ = Target;
    QTimer::singleShot(How == Transport::Refused ? 1 : RepeatPauseMs, this,
                       [this, J] { submit(J); });
    return;
  }
  Summary_.add(E);
  --Open_;
  drainWaiting();
  finishIfDone();
}

void Generator::finishIfDone() {
  if (Open_ == 0 && !Timer_.isEnabled() && Finished_)
    std::exchange(Finished_, nullptr)();
}

void Generator::recordSent(const Job &J, std::size_t Target) {
  if (!History_.on())
    return;
  HistoryLine Line(Options_.Name_, "sent", J.Id_);
  Line.text("pool", Options_.Pools_[J.Pool_])
      .text("key", J.Key_)
      .text("digest", J.Digest_.toStdString())
      .number("try", J.Tries_)
      .number("due", J.DueUs_)
      .number("port", Options_.Targets_[Target].Port_);
  History_.write(Line);
}

void Generator::recordEnd(const Job &J, std::size_t Target, const Ending &E,
                          const HttpResponse &Response) {
  if (!History_.on())
    return;
  HistoryLine Line(Options_.Name_, "answer", J.Id_);
  Line.text("outcome", E.Outcome_)
      .text("reason", E.Reason_)
      .text("request", fieldOf(Response, "x-request"))
      .text("key", J.Key_)
      .text("digest", J.Digest_.toStdString())
      .number("own", E.OwnAnswer_ ? 1 : 0)
      .number("try", J.Tries_)
      .number("within", E.WithinWindow_ ? 1 : 0)
      .number("took_us", E.TookUs_)
      .number("port", Options_.Targets_[Target].Port_);
  History_.write(Line);
}

} // namespace heathercross::standin
