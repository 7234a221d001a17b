// Commands that submit, show and cancel jobs.
#include "cli/command.h"
#include "cli/errors.h"
#include "cli/flags.h"

#include <QJsonDocument>

#include <algorithm>
#include <iostream>
#include <limits>

namespace heathercross::cli {

namespace {

const Columns JobColumns{"id", "state"};
constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();
/// The maximum number of jobs that one call cancels.
constexpr std::size_t MaxCancelBatch = 200;

QString toQString(const std::string &S) { return QString::fromStdString(S); }

QJsonObject jobFromFlags(const Arguments &A) {
  return {{"id", toQString(A[0])},
          {"pool", toQString(A[1])},
          {"work_ms", static_cast<qint64>(FLAGS_work_ms)},
          {"cores", static_cast<qint64>(FLAGS_cores)},
          {"memory_mb", static_cast<qint64>(FLAGS_memory_mb)}};
}

QJsonObject jobFromLine(const std::string &Line) {
  const auto Job = QJsonDocument::fromJson(QByteArray::fromStdString(Line));
  if (!Job.isObject())
    raise(UsageError("not a JSON object: " + Line));
  return Job.object();
}

std::vector<QJsonObject> jobsToSubmit(const Arguments &A) {
  if (A.size() == 2)
    return {jobFromFlags(A)};
  if (A[0] != "-")
    raise(UsageError("job submit takes ID POOL, or - for JSON lines"));
  std::vector<QJsonObject> Jobs;
  for (const std::string &Line : wordsOrInputLines(A))
    Jobs.push_back(jobFromLine(Line));
  return Jobs;
}

QJsonValue itemId(const std::string &Id) { return toQString(Id); }
QJsonValue itemId(const QJsonObject &Job) { return Job["id"]; }

/// Returns the table row of an item whose call failed.
QJsonObject failureRow(const QJsonValue &Id, const CallFailed &E) {
  return {
      {"id", Id}, {"state", "-"}, {"error", E.code()}, {"message", E.what()}};
}

/// Makes one call for each item and prints its result as a row; the row of a
/// failed call shows the error. Returns the worst exit code.
template <class Item, class Function>
ExitCode printEach(Session &S, const std::vector<Item> &Items, Function Call) {
  ExitCode Worst = ExitCode::Done;
  QJsonArray Rows;
  for (const Item &I : Items) {
    try {
      Rows.append(Call(I));
    } catch (const CallFailed &E) {
      Worst = worse(Worst, E.exitCode());
      Rows.append(failureRow(itemId(I), E));
    }
  }
  S.printRows("jobs", Rows, JobColumns);
  return Worst;
}

ExitCode submit(Session &S, const Arguments &A) {
  return printEach(S, jobsToSubmit(A), [&](const QJsonObject &Job) {
    return S.post("/v1/jobs", Job);
  });
}

ExitCode status(Session &S, const Arguments &A) {
  return printEach(S, wordsOrInputLines(A), [&](const std::string &Id) {
    return S.get("/v1/jobs/" + percentEncode(Id));
  });
}

ExitCode list(Session &S, const Arguments &) {
  const std::string Query =
      FLAGS_state.empty() ? "" : "?state=" + percentEncode(FLAGS_state);
  S.printRows("jobs", arrayField(S.get("/v1/jobs" + Query), "jobs"),
              JobColumns);
  return ExitCode::Done;
}

QByteArray fetchResult(Session &S, const std::string &Id) {
  return S.getRaw("/v1/jobs/" + percentEncode(Id) + "/result");
}

ExitCode result(Session &S, const Arguments &A) {
  const auto Ids = wordsOrInputLines(A);
  if (Ids.size() == 1 && !S.options().Json_) {
    std::cout << fetchResult(S, Ids[0]).toStdString();
    return ExitCode::Done;
  }
  return printEach(S, Ids, [&](const std::string &Id) {
    return QJsonObject{{"id", toQString(Id)},
                       {"state", "done"},
                       {"result", QString::fromUtf8(fetchResult(S, Id))}};
  });
}

using IdBatch = std::span<const std::string>;

std::vector<IdBatch> splitIntoBatches(IdBatch Ids) {
  std::vector<IdBatch> Batches;
  for (; !Ids.empty(); Ids = Ids.subspan(Batches.back().size()))
    Batches.push_back(Ids.first(std::min(MaxCancelBatch, Ids.size())));
  return Batches;
}

/// Returns the row of a job after its cancellation. The team has no job with an
/// id that is absent from the reply.
QJsonObject cancelledRow(const QJsonObject &States, const QString &Id) {
  if (States.contains(Id))
    return {{"id", Id}, {"state", States[Id]}};
  return failureRow(
      Id, CallFailed(ExitCode::Refused, "no-such-job", "there is no such job"));
}

/// Cancels a batch of jobs with one call and appends a row for each job.
ExitCode cancelBatch(Session &S, IdBatch Ids, QJsonArray &Rows) {
  QJsonArray JobIds;
  std::ranges::transform(Ids, std::back_inserter(JobIds), toQString);
  ExitCode Worst = ExitCode::Done;
  try {
    const QJsonObject States = S.post("/v1/jobs/cancel", {{"ids", JobIds}});
    for (const auto &Id : JobIds) {
      Rows.append(cancelledRow(States, Id.toString()));
      if (!States.contains(Id.toString()))
        Worst = ExitCode::Refused;
    }
  } catch (const CallFailed &E) {
    for (const auto &Id : JobIds)
      Rows.append(failureRow(Id, E));
    Worst = E.exitCode();
  }
  return Worst;
}

ExitCode cancel(Session &S, const Arguments &A) {
  const auto Ids = wordsOrInputLines(A);
  ExitCode Worst = ExitCode::Done;
  QJsonArray Rows;
  for (const IdBatch Batch : splitIntoBatches(Ids))
    Worst = worse(Worst, cancelBatch(S, Batch, Rows));
  S.printRows("jobs", Rows, JobColumns);
  return Worst;
}

} // namespace

CommandList jobCommands() {
  return {
      {"job",
       "submit",
       "ID POOL|-",
       1,
       2,
       "Submits a job, or with - one for each JSON line of the input.",
       "heathercross job submit relay-7 sweeps --work-ms 600000 --cores 4",
       {"work_ms", "cores", "memory_mb"},
       submit},
      {"job",
       "status",
       "ID...|-",
       1,
       Unlimited,
       "Shows the states of jobs.",
       "heathercross job status relay-7 relay-8",
       {},
       status},
      {"job",
       "list",
       "",
       0,
       0,
       "Lists the team's jobs.",
       "heathercross job list --state running",
       {"state"},
       list},
      {"job",
       "result",
       "ID...|-",
       1,
       Unlimited,
       "Prints the results of jobs.",
       "heathercross job result relay-7 > relay-7.out",
       {},
       result},
      {"job",
       "cancel",
       "ID...|-",
       1,
       Unlimited,
       "Cancels jobs, many at once.",
       "heathercross job cancel - < ids.txt",
       {},
       cancel},
  };
}

} // namespace heathercross::cli
