// Shows the events of a job from the logs of several processes.
#include "cli/command.h"
#include "cli/errors.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

namespace heathercross::cli {

namespace {

/// One parsed log line.
struct LogLine {
  qint64 TimeMs_ = 0;
  std::string File_;
  QJsonObject Fields_;
};

/// Reads the events of a log file. Text before the first brace, such as the
/// prefix of a log collector, is skipped, and so are lines without an event.
std::vector<LogLine> readLog(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    raise(UsageError("can't read " + File));
  std::vector<LogLine> Lines;
  for (std::string Line; std::getline(In, Line);) {
    const auto Brace = Line.find('{');
    if (Brace == std::string::npos)
      continue;
    const auto Document =
        QJsonDocument::fromJson(QByteArray::fromStdString(Line.substr(Brace)));
    if (Document.isObject() && Document.object().contains("event"))
      Lines.push_back({static_cast<qint64>(Document["t"].toDouble()), File,
                       Document.object()});
  }
  return Lines;
}

std::string stringField(const QJsonObject &O, const char *Key) {
  return O.value(QLatin1String(Key)).toVariant().toString().toStdString();
}

/// Returns whether an event of a pool or a worker can explain what happened to
/// its jobs.
bool mayAffectJobs(const std::string &Event) {
  static const std::set<std::string> Events{
      "duty-claimed",    "duty-loaded",     "duty-lost",
      "commit-failing",  "commit-working",  "worker-silent",
      "worker-back",     "worker-gone",     "worker-suspected",
      "dependency-lost", "dependency-back", "stop-began"};
  return Events.contains(Event);
}

void printEvent(const LogLine &L, qint64 StartMs) {
  std::cout << "+" << L.TimeMs_ - StartMs << " ms  "
            << stringField(L.Fields_, "event");
  for (auto It = L.Fields_.begin(); It != L.Fields_.end(); ++It)
    if (It.key() != "event" && It.key() != "t")
      std::cout << " " << It.key().toStdString() << "="
                << It.value().toVariant().toString().toStdString();
  std::cout << "  (" << L.File_ << ")\n";
}

ExitCode explainJob(Session &, const Arguments &A) {
  std::vector<LogLine> Lines;
  for (std::size_t I = 1; I < A.size(); ++I) {
    std::vector<LogLine> FileLines = readLog(A[I]);
    std::ranges::move(FileLines, std::back_inserter(Lines));
  }
  std::ranges::stable_sort(Lines, {}, &LogLine::TimeMs_);
  const auto MentionsJob = [&](const LogLine &L) {
    return stringField(L.Fields_, "job") == A[0];
  };
  const auto First = std::ranges::find_if(Lines, MentionsJob);
  if (First == Lines.end()) {
    std::cerr << "no line mentions job " << A[0] << "\n";
    return ExitCode::Refused;
  }
  const auto Last =
      std::find_if(Lines.rbegin(), Lines.rend(), MentionsJob).base();
  std::set<std::string> Pools;
  for (const LogLine &L : Lines)
    if (MentionsJob(L))
      Pools.insert(stringField(L.Fields_, "pool"));
  const qint64 StartMs = First->TimeMs_;
  std::for_each(First, Last, [&](const LogLine &L) {
    const bool ConcernsPool = Pools.contains(stringField(L.Fields_, "pool")) ||
                              !L.Fields_.contains("pool");
    if (MentionsJob(L) ||
        (ConcernsPool && mayAffectJobs(stringField(L.Fields_, "event"))))
      printEvent(L, StartMs);
  });
  return ExitCode::Done;
}

} // namespace

CommandList explainCommands() {
  constexpr std::size_t MaxLogs = 1000;
  return {{"explain",
           "",
           "JOB LOG...",
           2,
           MaxLogs,
           "Shows, from the logs of all entry instances, what happened to a "
           "job and to its pool meanwhile.",
           "heathercross explain 5c0e7a21d94b36f8 entry-*.log",
           {},
           explainJob}};
}

} // namespace heathercross::cli
