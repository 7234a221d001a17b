// The record of a script: what was sent, answered and run, with times.
#include "review-record.h"

#include <chrono>
#include <iostream>

namespace heathercross::review {

std::int64_t nowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Start)
      .count();
}

Record::Record(const QString &File) : File_(File) {
  File_.open(QIODevice::WriteOnly | QIODevice::Append);
}

void Record::line(const QString &Text) {
  const QString Line =
      QString::number(nowMs()).rightJustified(7) + " ms  " + Text + "\n";
  File_.write(Line.toUtf8());
  File_.flush();
  std::cout << Line.toStdString() << std::flush;
}

} // namespace heathercross::review
