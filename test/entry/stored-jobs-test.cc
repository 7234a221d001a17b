// Tests of what a pool's next holder makes of the rows of jobs.
#include "entry/pool-holder.h"
#include "http/http-server.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <fcntl.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace heathercross;
using namespace heathercross::entry;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

const PoolId Pool("s1");
const schedule::QueueId Queue("r1");

http::Response jsonResponse(const QJsonObject &Body, int Status = 200) {
  http::Response R;
  R.Status_ = Status;
  R.Body_ = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  return R;
}

/// A store with one partition that has a single writer at a time.
class RowServer {
public:
  RowServer() { Server_.listen(QHostAddress::LocalHost, 0); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }
  /// Refuses all writes after the next transaction that deletes rows.
  void closeAfterDeletion() { ClosesAfterDeletion_ = true; }
  bool closed() const { return Closed_; }
  /// Takes writes again.
  void open() { Closed_ = ClosesAfterDeletion_ = false; }
  void setRow(const char *Name, const JobId &Key, const QByteArray &Value) {
    Tables_[Name][QString::fromStdString(Key.str())] =
        QString::fromLatin1(Value.toBase64());
  }
  std::size_t rowCount(const char *Name) const {
    const auto It = Tables_.find(Name);
    return It == Tables_.end() ? 0 : It->second.size();
  }

private:
  using Table = std::map<QString, QString>;

  void serve(const http::Request &R, http::Responder &To) {
    QJsonObject Answer{{"ver", ++Version_}, {"now_ms", Version_}};
    if (R.Path_ == "/-/rows-tx") {
      if (Closed_) {
        To.respond(jsonResponse({}, 503));
        return;
      }
      write(QJsonDocument::fromJson(R.Body_).object());
    } else {
      Answer["rows"] = read(QString::fromUtf8(R.parameter("table")));
    }
    To.respond(jsonResponse(Answer));
  }

  void write(const QJsonObject &Body) {
    for (const QJsonValue Row : Body["set_keys"].toArray())
      Tables_[Row["table"].toString()][Row["key"].toString()] =
          Row["value"].toString();
    const QJsonArray Removed = Body["remove"].toArray();
    for (const QJsonValue Row : Removed)
      Tables_[Row["table"].toString()].erase(Row["key"].toString());
    Closed_ = ClosesAfterDeletion_ && !Removed.isEmpty();
  }

  QJsonArray read(const QString &Name) const {
    QJsonArray Rows;
    const auto It = Tables_.find(Name);
    if (It != Tables_.end())
      for (const auto &[Key, Value] : It->second)
        Rows.append(QJsonObject{{"table", Name},
                                {"part", "s1"},
                                {"key", Key},
                                {"value", Value},
                                {"ver", 1}});
    return Rows;
  }

  std::map<QString, Table> Tables_;
  qint64 Version_ = 10;
  bool ClosesAfterDeletion_ = false;
  bool Closed_ = false;
  http::Server Server_{
      {}, [this](http::Request &&R, http::Responder &&To) { serve(R, To); }};
};

/// A process that holds the pool.
class HolderProcess {
public:
  HolderProcess(const RowServer &Store, std::uint64_t E)
      : Client_(Http_, {Store.address(), {}, false}),
        Holder_(Context_, Pool,
                {{EntryId("self/1"), "127.0.0.1:1", Epoch(E), 0},
                 RowVersion(1),
                 Clock_.now()},
                [] {}) {
    waitFor([this] { return Holder_.snapshot().has_value(); });
  }

  /// Has all jobs accepted, then cancelled.
  void submitAndCancel(const std::map<JobId, QByteArray> &Jobs) {
    answerAll(Jobs, [this](const auto &Job, const auto &OnAnswer) {
      Holder_.submit(Job.first, Queue, AccountId(), Job.second, {}, OnAnswer);
    });
    answerAll(Jobs, [this](const auto &Job, const auto &OnAnswer) {
      Holder_.cancel(Job.first, AccountId(), {}, OnAnswer);
    });
  }
  JobAnswer state(const JobId &Id) {
    return answer([&](const PoolHolder::AnswerHandler &OnAnswer) {
      Holder_.state(Id, AccountId(), {}, OnAnswer);
    });
  }
  JobAnswer submit(const JobId &Id, const QByteArray &Body) {
    return answer([&](const PoolHolder::AnswerHandler &OnAnswer) {
      Holder_.submit(Id, Queue, AccountId(), Body, {}, OnAnswer);
    });
  }
  JobAnswer cancel(const JobId &Id) {
    return answer([&](const PoolHolder::AnswerHandler &OnAnswer) {
      Holder_.cancel(Id, AccountId(), {}, OnAnswer);
    });
  }

private:
  template <class Request> static JobAnswer answer(Request Send) {
    std::optional<JobAnswer> Answer;
    Send([&Answer](const JobAnswer &A) { Answer = A; });
    waitFor([&Answer] { return Answer.has_value(); });
    return *Answer;
  }

  template <class Request>
  static void answerAll(const std::map<JobId, QByteArray> &Jobs, Request Send) {
    std::size_t Accepted = 0;
    for (const auto &Job : Jobs)
      Send(Job, [&Accepted](const JobAnswer &A) {
        Accepted += A.Kind_ == JobAnswer::Kind::Accepted ? 1 : 0;
      });
    waitFor([&] { return Accepted == Jobs.size(); });
  }

  static EntrySettings settings() {
    EntrySettings S;
    S.StatusKept_ = Millis(0);
    return S;
  }

  EntrySettings Settings_ = settings();
  process::Clock Clock_;
  process::EventLog Log_{open("/dev/null", O_WRONLY | O_CLOEXEC)};
  process::Metrics Metrics_;
  http::Client Http_;
  platform_api::Store Client_;
  platform_api::Workers Workers_{Http_};
  platform_api::Machines Machines_{Http_, "127.0.0.1:1"};
  platform_api::Advice AdviceService_{Http_};
  AdviceCalls Advice_{AdviceService_, Clock_};
  Context Context_{Settings_, EntryId("self/1"), Clock_,    Log_,    Metrics_,
                   Client_,   Workers_,          Machines_, Advice_, Http_};
  PoolHolder Holder_;
};

JobId jobId(int I) {
  std::string Digits = std::to_string(I);
  return JobId(std::string(16 - Digits.size(), '0') + Digits);
}

QByteArray jobBody(std::size_t SpecLength) {
  return R"({"spec":")" + QByteArray(static_cast<int>(SpecLength), 'x') +
         R"(","phases":[{"count":1,"cpu":1000,"mem_mb":10,"est_ms":500}]})";
}

} // namespace

// Guards against TWICE: a holder that ended while it deleted cancelled jobs
// left some of them without the progress that says so, and its successor ran
// them.
HEATHERCROSS_STORY(PartlyDeletedJobs,
                   "the successor of a holder that ended while it deleted jobs "
                   "runs none of them") {
  startQt();
  // The first job takes an odd number of rows.
  constexpr std::size_t LongSpec = 61'000;
  constexpr int Count = 100;
  std::map<JobId, QByteArray> Jobs;
  for (int I = 0; I < Count; ++I)
    Jobs[jobId(I)] = jobBody(I == 0 ? LongSpec : 1);
  RowServer Store;
  auto First = std::make_unique<HolderProcess>(Store, 5);
  First->submitAndCancel(Jobs);
  section("it deletes them in several transactions", [&] {
    Store.closeAfterDeletion();
    waitFor([&] { return Store.closed(); });
    CPPUNIT_ASSERT(Store.rowCount(JobTable) > 0);
    First.reset();
    Store.open();
  });
  HolderProcess Second(Store, 6);
  section("each one is cancelled or unknown", [&] {
    for (const auto &[Id, Body] : Jobs) {
      const JobAnswer A = Second.state(Id);
      CPPUNIT_ASSERT(A.Kind_ == JobAnswer::Kind::NoSuchJob ||
                     (A.Kind_ == JobAnswer::Kind::Known &&
                      A.State_ == schedule::JobState::Canceled));
    }
  });
  section("in the end no row of them is left", [&] {
    waitFor([&] {
      return Store.rowCount(JobTable) + Store.rowCount(ProgressTable) == 0;
    });
  });
}

// Guards against TWICE: a job whose progress couldn't be read was unknown to
// the next holder, which accepted it anew.
HEATHERCROSS_STORY(UnreadableJob,
                   "requests for a job that can't be read are answered by "
                   "nobody") {
  startQt();
  RowServer Store;
  std::make_unique<HolderProcess>(Store, 5)->submitAndCancel(
      {{jobId(1), jobBody(1)}});
  Store.setRow(ProgressTable, jobId(1), "?");
  HolderProcess Next(Store, 6);
  CPPUNIT_ASSERT(Next.state(jobId(1)).Kind_ == JobAnswer::Kind::NotHolder);
  CPPUNIT_ASSERT(Next.cancel(jobId(1)).Kind_ == JobAnswer::Kind::NotHolder);
  CPPUNIT_ASSERT(Next.submit(jobId(1), jobBody(1)).Kind_ ==
                 JobAnswer::Kind::NotHolder);
  CPPUNIT_ASSERT(Next.submit(jobId(2), jobBody(1)).Kind_ ==
                 JobAnswer::Kind::Accepted);
}
