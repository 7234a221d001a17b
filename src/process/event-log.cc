// A structured log that never blocks its writer.
#include "process/event-log.h"

#include <QJsonDocument>

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace heathercross::process {

namespace {

/// Bounds the memory that lines take while the reader is slow.
constexpr std::size_t MaxBufferBytes = std::size_t{256} * 1024;
/// A write of at most PIPE_BUF bytes to a pipe isn't split.
constexpr std::size_t MaxWriteBytes = 4096;
/// The limit for each routine event.
constexpr std::uint32_t MaxRoutineLinesPerSecond = 150;
/// How long lines are collected so that one write takes several of them.
constexpr int FlushDelayMs = 25;
constexpr std::int64_t MsPerSecond = 1000;

std::int64_t wallMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

EventLog::EventLog(int Descriptor) : Descriptor_(Descriptor) {
  const int Flags = fcntl(Descriptor_, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor_, F_SETFL, Flags | O_NONBLOCK);
  FlushTimer_.setSingleShot(true);
  connect(&FlushTimer_, &QTimer::timeout, this, [this] { flush(); });
}

EventLog::~EventLog() { flush(); }

bool EventLog::admit(const char *Event, LineClass Class, std::int64_t NowMs) {
  if (Class == LineClass::Decision)
    return true;
  auto It = Rates_.find(Event);
  if (It == Rates_.end())
    It = Rates_.emplace(Event, Rate()).first;
  Rate &R = It->second;
  const std::int64_t Second = NowMs / MsPerSecond;
  if (R.Second_ != Second) {
    const std::uint32_t Skipped = std::exchange(R.Skipped_, 0);
    R.Second_ = Second;
    R.Lines_ = 0;
    if (Skipped > 0)
      append("lines-left-out",
             {{"of", Event}, {"count", static_cast<qint64>(Skipped)}}, NowMs);
  }
  if (++R.Lines_ <= MaxRoutineLinesPerSecond)
    return true;
  ++R.Skipped_;
  ++Dropped_;
  return false;
}

void EventLog::append(const char *Event, QJsonObject Fields,
                      std::int64_t NowMs) {
  if (Buffer_.size() > MaxBufferBytes) {
    ++Dropped_;
    return;
  }
  Fields["t"] = static_cast<qint64>(NowMs);
  Fields["event"] = Event;
  Buffer_ += QJsonDocument(Fields).toJson(QJsonDocument::Compact).toStdString();
  Buffer_ += '\n';
  if (!FlushTimer_.isActive())
    FlushTimer_.start(FlushDelayMs);
}

std::optional<std::int64_t> EventLog::admitNow(const char *Event,
                                               LineClass Class) {
  const std::int64_t NowMs = wallMs();
  return admit(Event, Class, NowMs) ? std::optional(NowMs) : std::nullopt;
}

void EventLog::write(const char *Event, QJsonObject Fields, LineClass Class) {
  if (const auto NowMs = admitNow(Event, Class))
    append(Event, std::move(Fields), *NowMs);
}

void EventLog::flush() {
  while (!Buffer_.empty()) {
    // Writes complete lines only, as many as fit into MaxWriteBytes; a longer
    // line is written by itself.
    std::size_t Size = std::min(Buffer_.size(), MaxWriteBytes);
    if (Size < Buffer_.size())
      Size = Buffer_.rfind('\n', Size - 1) + 1;
    if (Size == 0)
      Size = Buffer_.find('\n') + 1;
    const ssize_t Written = ::write(Descriptor_, Buffer_.data(), Size);
    if (Written <= 0)
      break;
    Buffer_.erase(0, static_cast<std::size_t>(Written));
  }
  if (!Buffer_.empty() && !FlushTimer_.isActive())
    FlushTimer_.start(FlushDelayMs);
}

} // namespace heathercross::process
