// Commands that query individual entry instances: their state and their view.
#include "cli/command.h"
#include "cli/errors.h"
#include "cli/flags.h"
#include "core/endpoint.h"

#include <algorithm>
#include <sstream>

namespace heathercross::cli {

namespace {

std::string normalizeAddress(const std::string &Text) {
  const auto Parsed = parseEndpoint(Text);
  if (!Parsed)
    raise(UsageError("not IP:PORT: " + Text));
  return Parsed->str();
}

ExitCode printDump(Session &S, const Arguments &A) {
  S.printObject(S.getFrom(normalizeAddress(A[0]), "/dump"));
  return ExitCode::Done;
}

std::vector<std::string> targetAddresses(const Session &S) {
  if (FLAGS_addresses.empty())
    return {S.options().Address_};
  std::vector<std::string> Addresses;
  std::istringstream List(FLAGS_addresses);
  for (std::string Address; std::getline(List, Address, ',');)
    Addresses.push_back(normalizeAddress(Address));
  return Addresses;
}

/// The head of one entry instance's view, or the error of the call.
struct HeadResult {
  std::string Address_;
  std::int64_t Head_ = 0;
  std::string ErrorCode_;
  ExitCode Exit_ = ExitCode::Done;
};

HeadResult fetchHead(Session &S, const std::string &Address) {
  try {
    const QJsonObject View = S.getFrom(Address, "/v1/view");
    return {Address, View["head"].toInteger(), "", ExitCode::Done};
  } catch (const CallFailed &E) {
    return {Address, 0, E.code(), E.exitCode()};
  }
}

/// Returns a row that shows whether an entry instance has the newest view of
/// those queried.
QJsonObject headRow(const HeadResult &R, std::int64_t Newest) {
  QJsonObject Row{{"address", QString::fromStdString(R.Address_)}};
  if (!R.ErrorCode_.empty()) {
    Row["problem"] = QString::fromStdString(R.ErrorCode_);
    return Row;
  }
  Row["head"] = static_cast<qint64>(R.Head_);
  Row["in_force"] = R.Head_ == Newest ? "newest" : "older";
  return Row;
}

ExitCode printViews(Session &S, const Arguments &) {
  std::vector<HeadResult> Results;
  for (const std::string &Address : targetAddresses(S))
    Results.push_back(fetchHead(S, Address));
  const std::int64_t Newest =
      std::ranges::max(Results, {}, &HeadResult::Head_).Head_;
  ExitCode Worst = ExitCode::Done;
  QJsonArray Rows;
  for (const HeadResult &R : Results) {
    Worst = worse(Worst, R.Exit_);
    Rows.append(headRow(R, Newest));
  }
  S.printRows("entries", Rows, {"address", "head", "in_force"});
  return Worst;
}

} // namespace

CommandList processCommands() {
  return {
      {"dump",
       "",
       "ADDRESS",
       1,
       1,
       "Shows the whole state of one entry instance.",
       "heathercross dump 10.0.1.4:8000",
       {},
       printDump},
      {"view",
       "",
       "",
       0,
       0,
       "Shows which view is in force in each process.",
       "heathercross view --addresses 10.0.1.4:8000,10.0.2.4:8000",
       {"addresses"},
       printViews},
  };
}

} // namespace heathercross::cli
