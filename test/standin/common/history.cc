// Writes the history of a run: one JSON line per event, appended to a file.
#include "standin/common/history.h"

#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace heathercross::standin {
namespace {

void appendQuoted(std::string &Out, std::string_view Text) {
  Out += '"';
  for (const char C : Text) {
    if (C == '"' || C == '\\') {
      Out += '\\';
      Out += C;
    } else if (static_cast<unsigned char>(C) < 0x20) {
      char Escape[8];
      std::snprintf(Escape, sizeof Escape, "\\u%04x", C);
      Out += Escape;
    } else {
      Out += C;
    }
  }
  Out += '"';
}

} // namespace

std::int64_t nowMicros() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch())
      .count();
}

HistoryLine::HistoryLine(std::string_view Process, std::string_view Kind,
                         std::string_view Id, std::int64_t TimeUs) {
  Line_.reserve(256);
  Line_ += "{\"t\":" + std::to_string(TimeUs);
  text("p", Process).text("k", Kind).text("id", Id);
}

HistoryLine &HistoryLine::text(std::string_view Name, std::string_view Value) {
  Line_ += ',';
  appendQuoted(Line_, Name);
  Line_ += ':';
  appendQuoted(Line_, Value);
  return *this;
}

HistoryLine &HistoryLine::number(std::string_view Name, std::int64_t Value) {
  return json(Name, std::to_string(Value));
}

HistoryLine &HistoryLine::json(std::string_view Name, std::string_view Value) {
  Line_ += ',';
  appendQuoted(Line_, Name);
  Line_ += ':';
  Line_ += Value;
  return *this;
}

std::string HistoryLine::finish() {
  Line_ += "}\n";
  return std::move(Line_);
}

HistoryFile::~HistoryFile() {
  if (enabled())
    ::close(Descriptor_);
}

bool HistoryFile::open(const std::string &Name) {
  if (Name.empty())
    return true;
  Descriptor_ =
      ::open(Name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  return enabled();
}

void HistoryFile::write(HistoryLine &Line) {
  if (!enabled())
    return;
  const std::string Text = Line.finish();
  if (::write(Descriptor_, Text.data(), Text.size()) < 0)
    std::perror("history");
}

} // namespace heathercross::standin
