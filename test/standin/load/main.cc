// standin-load: an open-loop load generator that writes a history.
#include "generator.h"
#include "view-poller.h"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(targets, "", "IP:PORT of each entry instance, comma-separated");
DEFINE_string(pool, "main", "pools to send to, comma-separated");
DEFINE_string(token, "", "the team's token");
DEFINE_double(rate, 100, "requests per second over all pools");
DEFINE_double(seconds, 5, "how long to send");
DEFINE_int32(connections, 256, "connections over all targets");
DEFINE_int32(body_bytes, 64, "bytes of a body");
DEFINE_double(keyed_share, 0, "share of requests with an idempotency key");
DEFINE_double(poison_share, 0, "share of requests whose work fails");
DEFINE_int32(window_ms, 1000, "window of a request, in milliseconds");
DEFINE_int32(work_ms, 0, "run time of a request, in milliseconds");
DEFINE_double(declared_spread, 1,
              "declared run times are off by up to this factor, either way");
DEFINE_string(urgency, "normal", "urgent, normal or batch");
DEFINE_bool(direct, false, "send to workers instead of entry instances");
DEFINE_bool(bursts, false, "pools take turns at 5 times their mean");
DEFINE_double(burst_seconds, 4, "length of a turn");
DEFINE_bool(repeat_keyed, false,
            "repeat keyed requests through other entries until it is known "
            "whether they ran");
DEFINE_bool(watch_views, false, "record each target's head");
DEFINE_uint64(seed, 1, "seed of the pseudorandom generators");
DEFINE_string(name, "load", "name of this process in the history");
DEFINE_string(history, "", "file to append the history to");
DEFINE_bool(json, false, "print the summary as JSON");

using namespace heathercross::standin;

namespace {

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> All;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    All.push_back(Part);
  return All;
}

LoadOptions optionsFromFlags() {
  LoadOptions O;
  for (const std::string &Target : splitAtCommas(FLAGS_targets))
    O.Targets_.push_back(parseEndpoint(Target));
  O.Pools_ = splitAtCommas(FLAGS_pool);
  O.Token_ = FLAGS_token;
  O.Rate_ = FLAGS_rate;
  O.Seconds_ = FLAGS_seconds;
  O.Connections_ = static_cast<std::size_t>(FLAGS_connections);
  O.BodyBytes_ = static_cast<std::size_t>(FLAGS_body_bytes);
  O.KeyedShare_ = FLAGS_keyed_share;
  O.PoisonShare_ = FLAGS_poison_share;
  O.WindowMs_ = FLAGS_window_ms;
  O.WorkMs_ = FLAGS_work_ms;
  O.DeclaredSpread_ = FLAGS_declared_spread;
  O.Direct_ = FLAGS_direct;
  O.Bursts_ = FLAGS_bursts;
  O.BurstSeconds_ = FLAGS_burst_seconds;
  O.RepeatKeyed_ = FLAGS_repeat_keyed;
  O.WatchViews_ = FLAGS_watch_views;
  O.Urgency_ = FLAGS_urgency;
  O.Seed_ = FLAGS_seed;
  O.Name_ = FLAGS_name;
  return O;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  QCoreApplication Application(Argc, Argv);
  const LoadOptions Options = optionsFromFlags();
  HistoryFile History;
  if (Options.Targets_.empty() || Options.Pools_.empty() ||
      !History.open(FLAGS_history)) {
    std::cerr << "standin-load: needs --targets, --pool and a history file "
                 "that can be opened\n";
    return 2;
  }
  Generator Load(Options, History);
  ViewPoller Poller(Options, History);
  if (Options.WatchViews_)
    Poller.start();
  Load.start([] { QCoreApplication::quit(); });
  QCoreApplication::exec();
  Summary &Result = Load.summary();
  std::cout << (FLAGS_json ? Result.json(Options.Seconds_)
                           : Result.table(Options.Seconds_))
            << std::flush;
  return Result.allAnswersCorrect() ? 0 : 1;
}
