// Measures what a pool's holder spends on starting tasks.
#include "starts.h"

#include "http/http-client.h"
#include "platform/store.h"
#include "process-usage.h"
#include "standin/common/task-workers.h"
#include "support/free-port.h"
#include "table.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QProcess>
#include <QTemporaryDir>
#include <QTimer>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <utility>

namespace heathercross::bench {

namespace {

using standin::TaskWorkers;
using standin::WorkerCalls;
using test::freePort;

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr int StartTimeoutMs = 10'000;
/// After the last submission, jobs get this long to complete.
constexpr int DrainMs = 3000;
/// Rows of the workers' table that one transaction writes.
constexpr std::size_t RowsPerTransaction = 50;

std::string loopback(quint16 Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

bool waitFor(const std::function<bool()> &Holds, int TimeoutMs) {
  QElapsedTimer Timer;
  Timer.start();
  bool Satisfied = Holds();
  while (!Satisfied && Timer.elapsed() < TimeoutMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    Satisfied = Holds();
  }
  return Satisfied;
}

/// A percentile of sorted values; 0 without any.
double percentile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  return Sorted[static_cast<std::size_t>(
      Share * static_cast<double>(Sorted.size() - 1))];
}

/// The platform's store, one entry and the model workers.
class HolderBench {
public:
  HolderBench(const StartLoad &Load, std::string Programs)
      : Load_(Load), Programs_(std::move(Programs)), Workers_(Load.Workers_) {}
  ~HolderBench() {
    Entry_.kill();
    Entry_.waitForFinished(StartTimeoutMs);
    StoreProcess_.kill();
    StoreProcess_.waitForFinished(StartTimeoutMs);
  }
  HolderBench(const HolderBench &) = delete;
  HolderBench &operator=(const HolderBench &) = delete;

  bool start();
  void run();
  StartFigures figures() const;

private:
  struct JobTimes {
    std::optional<SteadyTime> Accepted_;
    bool Complete_ = false;
  };

  std::string program(const char *Name) const { return Programs_ + "/" + Name; }
  bool writeRows(
      const std::vector<std::pair<platform_api::RowPlace, std::string>> &Rows);
  void writeSettings(const std::string &File) const;
  http::Call call(const char *Method, const std::string &Job) const;
  void submit();
  void pollState(const std::string &Job);

  StartLoad Load_;
  std::string Programs_;
  TaskWorkers Workers_;
  http::Client Http_;
  QTemporaryDir Folder_;
  QProcess StoreProcess_;
  QProcess Entry_;
  quint16 StorePort_ = freePort();
  quint16 FrontPort_ = freePort();
  quint16 ReadyPort_ = freePort();
  quint16 PeersPort_ = freePort();
  std::map<std::string, JobTimes> Jobs_;
  std::uint64_t Refused_ = 0;
  std::uint64_t StateCalls_ = 0;
  double CpuSeconds_ = 0;
  double Elapsed_ = 0;
};

bool HolderBench::writeRows(
    const std::vector<std::pair<platform_api::RowPlace, std::string>> &Rows) {
  platform_api::Store S(Http_, {loopback(StorePort_), {}, true});
  platform_api::StoreTransaction T;
  for (const auto &[Place, Value] : Rows)
    T.Changes_.push_back({Place, Value});
  std::optional<platform_api::StoreReply> Reply;
  S.transact(T, Millis(1000),
             [&](const platform_api::StoreReply &R) { Reply = R; });
  return waitFor([&] { return Reply.has_value(); }, StartTimeoutMs) &&
         Reply->Outcome_ == platform_api::StoreOutcome::Ok;
}

void HolderBench::writeSettings(const std::string &File) const {
  std::ofstream(File)
      << "[entry]\nname = entry-0\nzone = z0\ncpu_share = 0.5\n[listen]\n"
      << "front = " << loopback(FrontPort_)
      << "\nready = " << loopback(ReadyPort_)
      << "\npeers = " << loopback(PeersPort_)
      << "\n[store]\naddress = " << loopback(StorePort_)
      << "\n[machines]\naddress = " << loopback(StorePort_)
      << "\norders_per_s = 64.0\n[advice]\naddress =\n[bounds]\n"
         "run_lease_max_ms = 10000\norder_lease_ms = 3000\n"
         "order_fencing = true\nstatus_kept_s = 120\nstop_grace_s = 6\n"
         "move_s = 1.5\nupkeep_s = 2\n";
}

bool HolderBench::start() {
  StoreProcess_.start(QString::fromStdString(program("standin-platform")),
                      {"--port", QString::number(StorePort_)});
  const std::string Configuration =
      R"({"version":3,"routes":[{"name":"r-1","host":"trade.example",)"
      R"("prefix":"/quotes/","service":"quoting","slo_ms":600,"prio":0,)"
      R"("attempts":2,"slo_factor":1.6,"timeout_ms":3000}],"services":[)"
      R"({"name":"quoting","standby":false}],)"
      R"("limits":{"max_body_bytes":65536}})";
  if (!waitFor(
          [&] {
            return writeRows({{{"op", "", "config"}, Configuration}});
          },
          StartTimeoutMs))
    return false;
  std::vector<std::pair<platform_api::RowPlace, std::string>> Rows;
  for (const auto &R : Workers_.registrations()) {
    Rows.push_back({{"servers", "", R.Id_}, R.Row_});
    if (Rows.size() < RowsPerTransaction)
      continue;
    if (!writeRows(std::exchange(Rows, {})))
      return false;
  }
  if (!Rows.empty() && !writeRows(Rows))
    return false;
  const std::string Settings = Folder_.filePath("entry.ini").toStdString();
  writeSettings(Settings);
  Entry_.setStandardOutputFile(Folder_.filePath("entry.out"));
  Entry_.start(QString::fromStdString(program("heathercrossd")),
               {"--deployment", QString::fromStdString(Settings)});
  const auto RenewedByHolder = [&] {
    return Workers_.calls().Renewals_ >=
           2 * static_cast<std::uint64_t>(Load_.Workers_);
  };
  return waitFor(RenewedByHolder, StartTimeoutMs);
}

http::Call HolderBench::call(const char *Method, const std::string &Job) const {
  http::Call C;
  C.Method_ = Method;
  C.Url_ = "http://" + loopback(FrontPort_) + "/quotes/" + Job;
  C.Headers_ = {"Host: trade.example", "Content-Type: application/json",
                "Heathercross-Deadline-Ms: 3000"};
  C.Timeout_ = Millis(4000);
  return C;
}

void HolderBench::submit() {
  constexpr int IdDigits = 16;
  const std::string Number = std::to_string(Jobs_.size());
  const std::string Id = std::string(IdDigits - Number.size(), '0') + Number;
  Jobs_.try_emplace(Id);
  http::Call C = call("POST", Id);
  C.Body_ = QString(R"({"spec":"%1","phases":[{"count":%2,"cpu":3100,)"
                    R"("mem_mb":6500,"est_ms":%1}]})")
                .arg(Load_.TaskMs_)
                .arg(Load_.TasksPerJob_)
                .toUtf8();
  Http_.send(std::move(C), [this, Id](const http::Reply &R) {
    if (R.Status_ != 200) {
      ++Refused_;
      return;
    }
    Jobs_[Id].Accepted_ = std::chrono::steady_clock::now();
    QTimer::singleShot(Load_.StatePollMs_, [this, Id] { pollState(Id); });
  });
}

void HolderBench::pollState(const std::string &Job) {
  ++StateCalls_;
  Http_.send(call("GET", Job), [this, Job](const http::Reply &R) {
    Jobs_[Job].Complete_ = R.Body_.contains("complete");
    if (!Jobs_[Job].Complete_)
      QTimer::singleShot(Load_.StatePollMs_, [this, Job] { pollState(Job); });
  });
}

void HolderBench::run() {
  constexpr int MsPerSecond = 1000;
  const auto Pid = Entry_.processId();
  const double CpuBefore = readUsage(Pid).CpuSeconds_;
  QElapsedTimer Timer;
  Timer.start();
  const int Total = Load_.Seconds_ * Load_.JobsPerSecond_;
  waitFor(
      [&] {
        while (static_cast<qint64>(Jobs_.size()) * MsPerSecond <
                   Timer.elapsed() * Load_.JobsPerSecond_ &&
               static_cast<int>(Jobs_.size()) < Total)
          submit();
        return static_cast<int>(Jobs_.size()) >= Total;
      },
      Load_.Seconds_ * MsPerSecond + StartTimeoutMs);
  waitFor(
      [&] {
        return std::ranges::all_of(
            Jobs_, [](const auto &Entry) { return Entry.second.Complete_; });
      },
      DrainMs);
  Elapsed_ = static_cast<double>(Timer.elapsed()) / MsPerSecond;
  CpuSeconds_ = readUsage(Pid).CpuSeconds_ - CpuBefore;
}

StartFigures HolderBench::figures() const {
  constexpr double MsPerSecond = 1000;
  std::vector<double> Waits;
  for (const auto &[Id, J] : Jobs_)
    if (const auto First = Workers_.firstStart(Id); First && J.Accepted_)
      Waits.push_back(
          std::chrono::duration<double, std::milli>(*First - *J.Accepted_)
              .count());
  std::ranges::sort(Waits);
  const WorkerCalls &Calls = Workers_.calls();
  StartFigures F;
  F.Accepted_ = Jobs_.size() - Refused_;
  F.Complete_ = static_cast<std::uint64_t>(std::ranges::count_if(
      Jobs_, [](const auto &Entry) { return Entry.second.Complete_; }));
  F.Starts_ = Calls.Starts_;
  F.Renewals_ = Calls.Renewals_;
  F.StateCalls_ = StateCalls_;
  F.WaitP50Ms_ = percentile(Waits, 0.5);
  F.WaitP95Ms_ = percentile(Waits, 0.95);
  F.Cores_ = CpuSeconds_ / Elapsed_;
  F.CpuMsPerStart_ =
      CpuSeconds_ * MsPerSecond /
      static_cast<double>(std::max<std::uint64_t>(Calls.Starts_, 1));
  return F;
}

} // namespace

std::optional<StartFigures> measureStarts(const StartLoad &Load,
                                          const std::string &Programs) {
  HolderBench B(Load, Programs);
  if (!B.start())
    return std::nullopt;
  B.run();
  return B.figures();
}

bool runStarts(const StartLoad &Load) {
  const auto F =
      measureStarts(Load, QCoreApplication::applicationDirPath().toStdString());
  if (!F)
    return false;
  const Table T{
      "one holder, " + std::to_string(Load.Workers_) + " workers, " +
          std::to_string(Load.JobsPerSecond_ * Load.TasksPerJob_) +
          " starts/s offered for " + std::to_string(Load.Seconds_) + " s",
      {{"figure", "value"},
       {"jobs accepted", std::to_string(F->Accepted_)},
       {"jobs complete", std::to_string(F->Complete_)},
       {"starts", std::to_string(F->Starts_)},
       {"renewals", std::to_string(F->Renewals_)},
       {"state calls", std::to_string(F->StateCalls_)},
       {"p50 from accepted to first start, ms", formatFixed(F->WaitP50Ms_, 1)},
       {"p95 from accepted to first start, ms", formatFixed(F->WaitP95Ms_, 1)},
       {"processor time, cores", formatFixed(F->Cores_, 3)},
       {"processor time for each start, ms",
        formatFixed(F->CpuMsPerStart_, 3)}}};
  std::cout << format(T) << std::flush;
  return true;
}

} // namespace heathercross::bench
