// The history that a proof reads: one JSON line an event.
#pragma once

#include "heathercross/error.h"

#include <QJsonObject>

#include <fstream>
#include <string>

namespace heathercross::daemon {

/// The history file can't be opened.
class HistoryUnavailable : public Error {
public:
  explicit HistoryUnavailable(const std::string &File)
      : Error("can't append to " + File) {}
  const char *code() const noexcept override { return "history-unavailable"; }
};

/// Appends events to a file, or drops them when no file is set.
class History {
public:
  /// An empty File switches the history off. Throws HistoryUnavailable.
  History(const std::string &File, std::string Process);

  bool on() const { return Out_.is_open(); }
  /// Writes an event of a kind about an id; Fields are added to the line.
  void write(const char *Kind, const std::string &Id, QJsonObject Fields = {});

private:
  std::ofstream Out_;
  std::string Process_;
};

} // namespace heathercross::daemon
