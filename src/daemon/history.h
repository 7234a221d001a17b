// An event log for tests that verify a run: one JSON object per line.
#pragma once

#include "heathercross/error.h"

#include <QJsonObject>

#include <fstream>
#include <string>

namespace heathercross::daemon {

/// The history file cannot be opened.
class HistoryUnavailable : public Error {
public:
  explicit HistoryUnavailable(const std::string &File)
      : Error("can't append to " + File) {}
  const char *code() const noexcept override { return "history-unavailable"; }
};

/// Appends events to a file, or discards them if no file is set.
class History {
public:
  /// An empty File disables the history. Throws HistoryUnavailable.
  History(const std::string &File, std::string Process);

  bool enabled() const { return Out_.is_open(); }
  /// Writes an event with its time and process; Fields are further members of
  /// the JSON object.
  void write(const char *Kind, const std::string &Id, QJsonObject Fields = {});

private:
  std::ofstream Out_;
  std::string Process_;
};

} // namespace heathercross::daemon
