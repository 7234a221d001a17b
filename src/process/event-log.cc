// Structured log lines on standard output that never block.
#include "process/event-log.h"

#include <QJsonDocument>

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace heathercross::process {

namespace {

/// Room for lines while the reader is slow.
constexpr std::size_t MaxBufferBytes = std::size_t{256} * 1024;
constexpr std::size_t MaxPieceBytes = 4096;
/// Lines of one routine kind in a second.
constexpr std::uint32_t MaxRoutineLines = 150;
/// Lines are written together after this long.
constexpr int FlushMs = 25;
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
  Flush_.setSingleShot(true);
  connect(&Flush_, &QTimer::timeout, this, [this] { flush(); });
}

EventLog::~EventLog() { flush(); }

bool EventLog::admits(const char *Event, LineClass Class, std::int64_t NowMs) {
  if (Class == LineClass::Decision)
    return true;
  Rate &R = Rates_[Event];
  const std::int64_t Second = NowMs / MsPerSecond;
  if (R.Second_ != Second) {
    const std::uint32_t Skipped = std::exchange(R.Skipped_, 0);
    R.Second_ = Second;
    R.Lines_ = 0;
    if (Skipped > 0)
      append("lines-left-out",
             {{"of", Event}, {"count", static_cast<qint64>(Skipped)}}, NowMs);
  }
  if (++R.Lines_ <= MaxRoutineLines)
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
  if (!Flush_.isActive())
    Flush_.start(FlushMs);
}

void EventLog::write(const char *Event, QJsonObject Fields, LineClass Class) {
  const std::int64_t NowMs = wallMs();
  if (admits(Event, Class, NowMs))
    append(Event, std::move(Fields), NowMs);
}

void EventLog::flush() {
  while (!Buffer_.empty()) {
    // Whole lines, in pieces that a pipe takes at once.
    std::size_t Size = std::min(Buffer_.size(), MaxPieceBytes);
    if (Size < Buffer_.size())
      Size = Buffer_.rfind('\n', Size - 1) + 1;
    if (Size == 0)
      Size = Buffer_.find('\n') + 1;
    const ssize_t Written = ::write(Descriptor_, Buffer_.data(), Size);
    if (Written <= 0)
      break;
    Buffer_.erase(0, static_cast<std::size_t>(Written));
  }
  if (!Buffer_.empty() && !Flush_.isActive())
    Flush_.start(FlushMs);
}

} // namespace heathercross::process
