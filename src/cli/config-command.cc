// The command that checks a configuration before it is sent.
#include "cli/command.h"
#include "cli/errors.h"
#include "cli/flags.h"
#include "platform/configuration-document.h"
#include "platform/documents.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace heathercross::cli {

namespace {

using Findings = std::vector<schedule::ConfigurationFinding>;

std::string readDocument(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(File), {}};
  if (!File.is_open() || File.bad())
    raise(UsageError("can't read " + Path));
  return Text;
}

/// Parses "CPU_MILLI,MEM_MB,GPUS"; nothing if the text is empty.
std::optional<Resources> parseTask(const std::string &Text) {
  if (Text.empty())
    return std::nullopt;
  std::vector<std::int64_t> Numbers;
  for (std::size_t Begin = 0; Begin <= Text.size();) {
    const std::size_t End = std::min(Text.find(',', Begin), Text.size());
    Numbers.push_back(static_cast<std::int64_t>(
        parseNumber(Text.substr(Begin, End - Begin), "--largest-task")));
    Begin = End + 1;
  }
  constexpr std::size_t Fields = 3;
  if (Numbers.size() != Fields)
    raise(UsageError("--largest-task isn't CPU_MILLI,MEM_MB,GPUS"));
  return Resources{Numbers[0], Numbers[1], Numbers[2]};
}

QJsonArray toJson(const Findings &F) {
  QJsonArray Array;
  for (const auto &Item : F)
    Array.append(QJsonObject{{"entry", QString::fromStdString(Item.Entry_)},
                             {"text", QString::fromStdString(Item.Text_)}});
  return Array;
}

void print(const Session &S, const Findings &Problems,
           const Findings &Changes) {
  if (S.options().Json_) {
    const QJsonObject O{{"problems", toJson(Problems)},
                        {"changes", toJson(Changes)}};
    std::cout << QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString()
              << "\n";
    return;
  }
  for (const auto &P : Problems)
    std::cout << "problem: " << P.Entry_ << ": " << P.Text_ << "\n";
  for (const auto &C : Changes)
    std::cout << "change: " << C.Entry_ << ": " << C.Text_ << "\n";
  if (Problems.empty())
    std::cout << "no problems\n";
}

ExitCode checkConfiguration(Session &S, const Arguments &A) {
  const auto LargestTask = parseTask(FLAGS_largest_task);
  const std::string Text = readDocument(A[0]);
  Findings Problems;
  Findings Changes;
  const auto New = platform_api::parseConfiguration(Text);
  if (!New)
    Problems.push_back({"configuration", "can't be read"});
  else
    Problems = schedule::findProblems(*New, platform_api::listedEntries(Text),
                                      LargestTask);
  if (!FLAGS_current.empty()) {
    const auto Current =
        platform_api::parseConfiguration(readDocument(FLAGS_current));
    if (!Current)
      raise(UsageError("no configuration: " + FLAGS_current));
    if (New && !schedule::replaces(*New, *Current))
      Problems.push_back(
          {"version", std::to_string(New->Version_) +
                          " isn't higher than the current one, " +
                          std::to_string(Current->Version_)});
    if (New)
      Changes = schedule::findChanges(*New, *Current);
  }
  print(S, Problems, Changes);
  return Problems.empty() ? ExitCode::Done : ExitCode::Refused;
}

} // namespace

CommandList configCommands() {
  return {{"config",
           "check",
           "NEW.json",
           1,
           1,
           "Checks a configuration before it is sent, and shows what it "
           "changes; keys are only counted.",
           "heathercross config check new.json --current current.json",
           {"current", "largest_task"},
           checkConfiguration}};
}

} // namespace heathercross::cli
