// Measures the decision logic of requests, fleet, membership and view.
#include "kernels.h"

#include "fleet/fleet-duty.h"
#include "peer/codec.h"
#include "peer/membership.h"
#include "request/dispatcher.h"
#include "view/codec.h"
#include "view/view-store.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace heathercross::bench {
namespace {

using WallClock = std::chrono::steady_clock;

constexpr int PoolSize = 9;
constexpr int RackSize = 4;
constexpr int Zones = 5;
constexpr int Requests = 20'000;
constexpr int FleetSteps = 20;
constexpr int ChangesPerDay = 3500;
constexpr int SimulatedSeconds = 60;
constexpr Micros SimulatedTick = Millis(100);
/// Bytes of the IPv4 and UDP headers of a datagram.
constexpr std::size_t DatagramHeaderBytes = 28;
const Instant Start{Micros(1'000'000)};

/// Returns the nanoseconds that a call of Do takes.
template <class F> double measureNanos(const F &Do) {
  const auto StartTime = WallClock::now();
  Do();
  return std::chrono::duration<double, std::nano>(WallClock::now() - StartTime)
      .count();
}

double mean(const std::vector<double> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0) /
         static_cast<double>(Values.size());
}

double quantile(std::vector<double> Values, double Q) {
  const auto Index =
      static_cast<std::ptrdiff_t>(Q * static_cast<double>(Values.size() - 1));
  std::ranges::nth_element(Values, Values.begin() + Index);
  return Values[static_cast<std::size_t>(Index)];
}

std::string numbered(const char *Prefix, int Number) {
  return Prefix + std::to_string(Number);
}

PoolId poolOfWorker(int Worker, int Size) {
  return PoolId(numbered("p", Worker / Size));
}

request::Fleet requestFleet(int Workers, int Size) {
  request::Fleet F;
  F.ZoneEntries_ = {EntryId("e1"), EntryId("e2")};
  for (int W = 0; W < Workers; ++W) {
    const PoolId Name = poolOfWorker(W, Size);
    F.Pools_[Name] = Pool{Name, static_cast<std::uint32_t>(Size)};
    F.Candidates_.push_back({InstanceId(numbered("w", W)), Name,
                             ZoneId(W % 2 == 0 ? "a" : "b"),
                             RackId(numbered("r", W / RackSize)), Slots{8}});
  }
  return F;
}

request::RequestSpec spec(int Number, const PoolId &Pool, Instant Now) {
  request::RequestSpec S;
  S.Request_ = RequestId(numbered("r", Number));
  S.Team_ = TeamId("t");
  S.Pool_ = Pool;
  S.Digest_ = "digest";
  S.Deadline_ = Now + Seconds(2);
  return S;
}

/// Nanoseconds for each placed request and for each end of a request.
struct PlacementCosts {
  std::vector<double> ArrivalsNs_;
  std::vector<double> EndsNs_;
};

PlacementCosts measurePlacement(int Workers, int Size) {
  request::Config Config;
  Config.Entry_ = EntryId("e1");
  Config.Zone_ = ZoneId("a");
  request::Dispatcher D(Config);
  D.on(request::FleetChanged{requestFleet(Workers, Size)}, Start);
  PlacementCosts Costs;
  Instant Now = Start;
  for (int I = 0; I < Requests; ++I) {
    Now += Micros(100);
    const request::Event Arrival =
        request::Arrived{spec(I, poolOfWorker(I % Workers, Size), Now)};
    request::Effects Out;
    Costs.ArrivalsNs_.push_back(
        measureNanos([&] { Out = D.on(Arrival, Now); }));
    const auto *Sent =
        Out.empty() ? nullptr : std::get_if<request::Send>(&Out.front());
    if (!Sent)
      continue;
    const request::Event End =
        request::TryEnded{Sent->Request_,         Sent->Attempt_,
                          Sent->Worker_,          request::TryResult::Answered,
                          request::Refusal::None, Millis(1)};
    Costs.EndsNs_.push_back(measureNanos([&] { D.on(End, Now); }));
  }
  return Costs;
}

InstanceRow instanceRow(const InstanceId &Id, const PoolId &Pool,
                        const ZoneId &Zone, const RackId &Rack,
                        const std::string &Address) {
  InstanceRow Row;
  Row.Name_ = Id;
  Row.Pool_ = Pool;
  Row.Zone_ = Zone;
  Row.Rack_ = Rack;
  Row.Address_ = Address;
  return Row;
}

fleet::Snapshot snapshot(int Workers) {
  fleet::Snapshot S;
  S.Now_ = Start;
  S.PlatformReachable_ = true;
  S.Listed_.emplace();
  for (int W = 0; W < Workers; ++W) {
    const InstanceId Id(numbered("w", W));
    const PoolId Name = poolOfWorker(W, PoolSize);
    const ZoneId Zone(numbered("z", W % Zones));
    const RackId Rack(numbered("r", W / RackSize));
    const std::string Address = "10.0.0.1:" + std::to_string(W);
    auto &AgreedPool = S.View_.Pools_[Name];
    AgreedPool.Name_ = Name;
    ++AgreedPool.Size_;
    S.View_.Budgets_[Name] = Budget{Name, AgreedPool.Size_ * 7 / 10};
    S.Leases_[Name] = {Epoch(1), RowVersion(1)};
    S.Permits_[Name].Epoch_ = Epoch(1);
    S.Instances_[Id].Row_ = instanceRow(Id, Name, Zone, Rack, Address);
    S.Listed_->emplace(Id, ListedInstance{Id, Zone, Rack, Address});
    fleet::WorkerStatus Status;
    Status.Reachable_ = true;
    Status.ReceivedAt_ = Start;
    Status.Boot_ = "1";
    Status.Slots_ = 8;
    S.Workers_[Id] = Status;
  }
  return S;
}

std::vector<double> measureFleetSteps(int Workers) {
  fleet::FleetDuty Duty;
  fleet::Snapshot S = snapshot(Workers);
  std::vector<double> Costs;
  for (int I = 0; I < FleetSteps; ++I) {
    S.Now_ += Millis(500);
    for (auto &[Id, Status] : S.Workers_)
      Status.ReceivedAt_ = S.Now_;
    Costs.push_back(measureNanos([&] { Duty.step(S); }));
  }
  return Costs;
}

peer::Membership makeMember(int Entry, int Entries) {
  std::vector<std::string> Seeds;
  for (int I = 0; I < Entries; ++I)
    if (I != Entry)
      Seeds.push_back("10.0.0.1:" + std::to_string(20'000 + I));
  peer::MembershipSettings Settings;
  Settings.Interval_ = Millis(500);
  return {Start,
          {EntryId(numbered("e", Entry)), ZoneId(numbered("z", Entry % Zones)),
           "10.0.0.1:" + std::to_string(20'000 + Entry), 1},
          Seeds,
          static_cast<std::uint64_t>(Entry + 1),
          Settings};
}

struct HeartbeatFigures {
  std::size_t Datagrams_ = 0;
  std::size_t Bytes_ = 0;
  std::size_t LargestBytes_ = 0;
};

/// Totals of the heartbeats that Entries entries send in SimulatedSeconds,
/// after a warm-up in which they discover each other. With HeadChanges, the
/// head changes every second.
HeartbeatFigures simulateHeartbeats(int Entries, bool HeadChanges) {
  const peer::PeerKey Key(std::string(32, 'k'));
  std::vector<peer::Membership> Members;
  Members.reserve(static_cast<std::size_t>(Entries));
  for (int I = 0; I < Entries; ++I)
    Members.push_back(makeMember(I, Entries));
  HeartbeatFigures F;
  const auto Rounds = Seconds(SimulatedSeconds) / SimulatedTick;
  for (std::int64_t Round = 0; Round < 2 * Rounds; ++Round) {
    const Instant Now = Start + Round * SimulatedTick;
    for (int I = 0; I < Entries; ++I) {
      auto &Member = Members[static_cast<std::size_t>(I)];
      const std::int64_t Head = HeadChanges ? Round / 10 + 1 : 1;
      peer::OwnState State;
      State.Head_ = TicketNumber(static_cast<std::uint64_t>(Head));
      State.Queued_ = 3;
      State.Busy_ = Slots{100};
      State.Free_ = Slots{200};
      Member.setOwnState(State);
      for (const auto &Out : Member.tick(Now)) {
        const auto To =
            std::stoul(Out.Address_.substr(Out.Address_.find(':') + 1)) -
            20'000;
        Members[To].on(Now, Out.Heartbeat_);
        if (Round < Rounds)
          continue;
        const std::size_t Size =
            peer::encode(Out.Heartbeat_, Key, peer::MaxDatagram).size();
        ++F.Datagrams_;
        F.Bytes_ += Size + DatagramHeaderBytes;
        F.LargestBytes_ = std::max(F.LargestBytes_, Size);
      }
    }
  }
  return F;
}

Row poolRow(int Number, std::uint64_t Ticket) {
  Pool P;
  P.Name_ = PoolId(numbered("p", Number));
  P.Size_ = static_cast<std::uint32_t>(Ticket % 20 + 1);
  const view::ViewObject Object{TicketNumber(Ticket), view::Change(P)};
  return {"view/pool/" + P.Name_.str(), RowVersion(Ticket), AttemptId("a"),
          view::encode(Object)};
}

} // namespace

Table decisionCost() {
  Table T{"decision of the request part, ns, " + std::to_string(Requests) +
              " requests each",
          {{"workers, per pool", "place mean", "place p99", "end mean",
            "end p99"}}};
  for (const auto &[Workers, Size] :
       {std::pair(50, 10), std::pair(50, 50), std::pair(200, 10),
        std::pair(600, 10), std::pair(1200, 10), std::pair(1200, 1200)}) {
    const PlacementCosts C = measurePlacement(Workers, Size);
    T.Rows_.push_back({std::to_string(Workers) + ", " + std::to_string(Size),
                       formatFixed(mean(C.ArrivalsNs_), 0),
                       formatFixed(quantile(C.ArrivalsNs_, 0.99), 0),
                       formatFixed(mean(C.EndsNs_), 0),
                       formatFixed(quantile(C.EndsNs_, 0.99), 0)});
  }
  return T;
}

Table fleetStepCost() {
  Table T{"one step of the fleet duty that holds all pools, ms, " +
              std::to_string(FleetSteps) + " steps each",
          {{"workers", "mean", "most"}}};
  for (const int Workers : {50, 200, 600, 1200}) {
    const auto Costs = measureFleetSteps(Workers);
    T.Rows_.push_back({std::to_string(Workers),
                       formatFixed(mean(Costs) / 1e6, 3),
                       formatFixed(std::ranges::max(Costs) / 1e6, 3)});
  }
  return T;
}

Table heartbeatBytes() {
  Table T{"heartbeats sent by one entry, interval 500 ms, simulated time, "
          "with IP and UDP headers",
          {{"entries", "datagrams/s", "bytes/s", "bytes/s with news",
            "largest payload"}}};
  for (const int Entries : {6, 24, 60, 120}) {
    const auto Idle = simulateHeartbeats(Entries, false);
    const auto HeadChanges = simulateHeartbeats(Entries, true);
    const double Share = 1.0 / Entries / SimulatedSeconds;
    T.Rows_.push_back(
        {std::to_string(Entries),
         formatFixed(static_cast<double>(Idle.Datagrams_) * Share, 1),
         formatFixed(static_cast<double>(Idle.Bytes_) * Share, 0),
         formatFixed(static_cast<double>(HeadChanges.Bytes_) * Share, 0),
         std::to_string(HeadChanges.LargestBytes_)});
  }
  return T;
}

Table viewApplyCost() {
  Table T{"applying " + std::to_string(ChangesPerDay) +
              " changes of the view, one by one",
          {{"pools", "us each", "ms a day"}}};
  for (const int Pools : {6, 34, 136}) {
    view::ViewStore Store;
    std::vector<double> Costs;
    for (int I = 1; I <= ChangesPerDay; ++I) {
      const auto Ticket = static_cast<std::uint64_t>(I);
      const std::vector<Row> Rows{poolRow(I % Pools, Ticket)};
      Costs.push_back(
          measureNanos([&] { Store.apply(Rows, TicketNumber(Ticket)); }));
    }
    T.Rows_.push_back({std::to_string(Pools), formatFixed(mean(Costs) / 1e3, 1),
                       formatFixed(mean(Costs) * ChangesPerDay / 1e6, 1)});
  }
  return T;
}

} // namespace heathercross::bench
