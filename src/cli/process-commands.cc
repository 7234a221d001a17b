// Commands on single processes: their state, and the view they have in force.
#include "cli/command.h"
#include "cli/errors.h"
#include "cli/flags.h"
#include "settings/endpoint.h"

#include <algorithm>
#include <sstream>

namespace heathercross::cli {

namespace {

std::string checkedAddress(const std::string &Text) {
  const auto Parsed = settings::parseEndpoint(Text);
  if (!Parsed)
    raise(UsageError("not IP:PORT: " + Text));
  return Parsed->str();
}

ExitCode dump(Session &S, const Arguments &A) {
  S.printObject(S.getFrom(checkedAddress(A[0]), "/dump"));
  return ExitCode::Done;
}

std::vector<std::string> addressesToAsk(const Session &S) {
  if (FLAGS_addresses.empty())
    return {S.options().Address_};
  std::vector<std::string> Addresses;
  std::istringstream List(FLAGS_addresses);
  for (std::string One; std::getline(List, One, ',');)
    Addresses.push_back(checkedAddress(One));
  return Addresses;
}

/// What one entry instance says of its view, and how asking it ended.
struct HeadReport {
  std::string Address_;
  std::int64_t Head_ = 0;
  std::string Problem_;
  ExitCode Exit_ = ExitCode::Done;
};

HeadReport askHead(Session &S, const std::string &Address) {
  try {
    const QJsonObject View = S.getFrom(Address, "/v1/view");
    return {Address, View["head"].toInteger(), "", ExitCode::Done};
  } catch (const CallFailed &E) {
    return {Address, 0, E.code(), E.exitCode()};
  }
}

/// A row that says whether an entry instance has the newest view of all asked.
QJsonObject rowOf(const HeadReport &R, std::int64_t Newest) {
  QJsonObject Row{{"address", QString::fromStdString(R.Address_)}};
  if (!R.Problem_.empty()) {
    Row["problem"] = QString::fromStdString(R.Problem_);
    return Row;
  }
  Row["head"] = static_cast<qint64>(R.Head_);
  Row["in_force"] = R.Head_ == Newest ? "newest" : "older";
  return Row;
}

ExitCode view(Session &S, const Arguments &) {
  std::vector<HeadReport> Reports;
  for (const std::string &Address : addressesToAsk(S))
    Reports.push_back(askHead(S, Address));
  const std::int64_t Newest =
      std::ranges::max(Reports, {}, &HeadReport::Head_).Head_;
  ExitCode Worst = ExitCode::Done;
  QJsonArray Rows;
  for (const HeadReport &R : Reports) {
    Worst = worse(Worst, R.Exit_);
    Rows.append(rowOf(R, Newest));
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
       dump},
      {"view",
       "",
       "",
       0,
       0,
       "Shows which view is in force where.",
       "heathercross view --addresses 10.0.1.4:8000,10.0.2.4:8000",
       {"addresses"},
       view},
  };
}

} // namespace heathercross::cli
