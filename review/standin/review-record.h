// The record of a script: what was sent, answered and run, with times.
#pragma once

#include <QByteArray>
#include <QFile>
#include <QString>

#include <cstdint>

namespace heathercross::review {

/// Milliseconds on the steady clock since the script started.
std::int64_t nowMs();

/// Appends lines to the record file and writes them to the standard output.
class Record {
public:
  explicit Record(const QString &File);
  void line(const QString &Text);

private:
  QFile File_;
};

} // namespace heathercross::review
