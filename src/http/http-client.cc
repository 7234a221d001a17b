// An asynchronous HTTP client on Qt's event loop.
#include "http/http-client.h"

#include "http/connector.h"
#include "http/response-parser.h"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <ranges>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace heathercross::http {

std::string_view Reply::header(std::string_view Name) const {
  const auto EqualIgnoringCase = [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  };
  const auto It = std::ranges::find_if(Headers_, [&](const auto &H) {
    return std::ranges::equal(H.first, Name, EqualIgnoringCase);
  });
  return It == Headers_.end() ? std::string_view() : It->second;
}

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Idle connections to all hosts together; more are closed after use.
constexpr std::size_t MaxIdleConnections = 1024;
constexpr std::size_t ReadChunkBytes = std::size_t{16} * 1024;
constexpr int EventsPerWait = 64;

using ConnectionId = std::uint64_t;

/// A call in progress.
struct Transfer {
  Call Call_;
  std::string Host_;
  /// The encoded request.
  QByteArray Request_;
  Client::Done Done_;
  Reply Reply_;
  SteadyClock::time_point StartedAt_;
  SteadyClock::time_point Deadline_;
  /// The connection that carries the call; absent while it waits for one.
  std::optional<ConnectionId> Connection_;
};

/// A connection to a host, with the call that it carries.
struct Connection {
  int Socket_ = -1;
  std::string Host_;
  std::shared_ptr<Transfer> Transfer_;
  std::optional<ResponseParser> Parser_;
  /// Bytes of the request that have been written.
  qsizetype Written_ = 0;
  bool Connecting_ = true;
  /// Whether an earlier call was carried.
  bool Reused_ = false;
  bool WatchesWritable_ = true;
};

/// The connections to one address.
struct Host {
  std::vector<ConnectionId> Idle_;
  std::size_t Open_ = 0;
  std::deque<std::shared_ptr<Transfer>> Waiting_;
};

QByteArray encodeRequest(const Call &C, const Target &To) {
  const auto IsHost = [](const std::string &Line) {
    return Line.starts_with("Host:");
  };
  std::string Head = C.Method_ + ' ' + To.Path_ + " HTTP/1.1\r\n";
  if (std::ranges::none_of(C.Headers_, IsHost))
    Head += "Host: " + To.Host_ + "\r\n";
  for (const std::string &Line : C.Headers_)
    Head += Line + "\r\n";
  if (C.Method_ != "GET")
    Head += "Content-Length: " + std::to_string(C.Body_.size()) + "\r\n";
  Head += "\r\n";
  QByteArray Request;
  Request.reserve(static_cast<qsizetype>(Head.size()) + C.Body_.size());
  Request.append(Head.data(), static_cast<qsizetype>(Head.size()));
  if (C.Method_ != "GET")
    Request.append(C.Body_);
  return Request;
}

} // namespace

/// Watches all sockets through one epoll descriptor. Qt's event loop polls that
/// one only, so that its cost doesn't grow with the number of connections.
class Client::Impl : public QObject {
public:
  explicit Impl(std::size_t MaxPerHost);
  ~Impl() override;

  void start(Call C, Done OnDone);
  std::size_t inFlight() const { return InFlight_; }
  std::uint64_t transferredBytes() const { return TransferredBytes_; }

private:
  using TransferPtr = std::shared_ptr<Transfer>;

  void assign(const TransferPtr &T);
  void open(const TransferPtr &T);
  /// Sends the call's request on a connection.
  void carry(ConnectionId Id, const TransferPtr &T);
  void handleEvents();
  void handleEvent(ConnectionId Id, std::uint32_t Events);
  void write(ConnectionId Id);
  void read(ConnectionId Id);
  /// Takes in what a read returned; false if the connection has ended.
  bool takeIn(ConnectionId Id, ssize_t Count, const char *Data);
  void complete(ConnectionId Id);
  /// The connection has ended before a complete response.
  void fail(ConnectionId Id);
  void close(ConnectionId Id);
  void closeIdle(const std::string &Host);
  /// Gives a connection, or the right to open one, to the next waiting call.
  void serveWaiting(const std::string &Host);
  void watch(ConnectionId Id, Connection &C, bool Writable);
  void finish(const TransferPtr &T, Delivery D);
  void finishLater(const TransferPtr &T, Delivery D);
  void expire();
  void startTimer();

  std::size_t MaxPerHost_;
  int Epoll_;
  std::unique_ptr<QSocketNotifier> Notifier_;
  QTimer Timer_;
  /// The deadline for which the timer was started.
  SteadyClock::time_point TimerDue_;
  std::multimap<SteadyClock::time_point, std::weak_ptr<Transfer>> Deadlines_;
  std::unordered_map<ConnectionId, Connection> Connections_;
  std::unordered_map<std::string, Host> Hosts_;
  ConnectionId LastConnection_ = 0;
  std::size_t IdleConnections_ = 0;
  std::size_t InFlight_ = 0;
  std::uint64_t TransferredBytes_ = 0;
};

Client::Impl::Impl(std::size_t MaxPerHost)
    : MaxPerHost_(MaxPerHost), Epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (Epoll_ < 0)
    raise(ClientSetupFailed());
  Notifier_ = std::make_unique<QSocketNotifier>(Epoll_, QSocketNotifier::Read);
  connect(Notifier_.get(), &QSocketNotifier::activated, this,
          [this] { handleEvents(); });
  Timer_.setSingleShot(true);
  Timer_.setTimerType(Qt::PreciseTimer);
  connect(&Timer_, &QTimer::timeout, this, [this] { expire(); });
}

Client::Impl::~Impl() {
  for (const auto &[Id, C] : Connections_)
    ::close(C.Socket_);
  Notifier_.reset();
  ::close(Epoll_);
}

void Client::Impl::start(Call C, Done OnDone) {
  auto T = std::make_shared<Transfer>();
  T->Done_ = std::move(OnDone);
  T->StartedAt_ = SteadyClock::now();
  T->Call_ = std::move(C);
  T->Deadline_ = T->StartedAt_ + std::max(Millis(1), T->Call_.Timeout_);
  ++InFlight_;
  const auto To = parseTarget(T->Call_.Url_);
  if (!To)
    return finishLater(T, Delivery::NeverSent);
  T->Host_ = To->Host_;
  T->Request_ = encodeRequest(T->Call_, *To);
  Deadlines_.emplace(T->Deadline_, T);
  startTimer();
  assign(T);
}

void Client::Impl::assign(const TransferPtr &T) {
  Host &H = Hosts_[T->Host_];
  if (!T->Call_.NewConnection_ && !H.Idle_.empty()) {
    const ConnectionId Id = H.Idle_.back();
    H.Idle_.pop_back();
    --IdleConnections_;
    return carry(Id, T);
  }
  if (MaxPerHost_ > 0 && H.Open_ >= MaxPerHost_) {
    H.Waiting_.push_back(T);
    return;
  }
  open(T);
}

void Client::Impl::open(const TransferPtr &T) {
  const int Socket = connectTo(T->Host_);
  if (Socket < 0)
    return finishLater(T, T->Reply_.Sent_ == 0 ? Delivery::NeverSent
                                               : Delivery::Lost);
  const ConnectionId Id = ++LastConnection_;
  Connection &C = Connections_[Id];
  C.Socket_ = Socket;
  C.Host_ = T->Host_;
  C.Transfer_ = T;
  T->Connection_ = Id;
  ++Hosts_[T->Host_].Open_;
  epoll_event Event{};
  Event.events = EPOLLIN | EPOLLOUT;
  Event.data.u64 = Id;
  epoll_ctl(Epoll_, EPOLL_CTL_ADD, Socket, &Event);
}

void Client::Impl::carry(ConnectionId Id, const TransferPtr &T) {
  Connection &C = Connections_.at(Id);
  C.Transfer_ = T;
  T->Connection_ = Id;
  C.Written_ = 0;
  C.Parser_.emplace(T->Call_.MaxResponseBody_.Count_);
  ++T->Reply_.Sent_;
  write(Id);
}

void Client::Impl::handleEvents() {
  std::array<epoll_event, EventsPerWait> Events{};
  const int Count = epoll_wait(Epoll_, Events.data(), EventsPerWait, 0);
  for (int I = 0; I < Count; ++I)
    handleEvent(Events[static_cast<std::size_t>(I)].data.u64,
                Events[static_cast<std::size_t>(I)].events);
}

void Client::Impl::handleEvent(ConnectionId Id, std::uint32_t Events) {
  // A callback of an earlier event may have closed the connection.
  const auto It = Connections_.find(Id);
  if (It == Connections_.end())
    return;
  Connection &C = It->second;
  if (C.Connecting_) {
    if (socketError(C.Socket_) != 0)
      return fail(Id);
    if ((Events & EPOLLOUT) == 0)
      return;
    C.Connecting_ = false;
    return carry(Id, C.Transfer_);
  }
  if ((Events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
    return read(Id);
  if ((Events & EPOLLOUT) != 0)
    write(Id);
}

void Client::Impl::write(ConnectionId Id) {
  Connection &C = Connections_.at(Id);
  const QByteArray &Request = C.Transfer_->Request_;
  while (C.Written_ < Request.size()) {
    const ssize_t Count = ::send(
        C.Socket_, Request.constData() + C.Written_,
        static_cast<std::size_t>(Request.size() - C.Written_), MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return watch(Id, C, true);
    // The event loop reports a failed connection, which must not be handled
    // inside send().
    if (Count < 0)
      return watch(Id, C, false);
    C.Written_ += Count;
    TransferredBytes_ += static_cast<std::uint64_t>(Count);
  }
  watch(Id, C, false);
}

void Client::Impl::watch(ConnectionId Id, Connection &C, bool Writable) {
  if (std::exchange(C.WatchesWritable_, Writable) == Writable)
    return;
  epoll_event Event{};
  Event.events = EPOLLIN | (Writable ? EPOLLOUT : 0U);
  Event.data.u64 = Id;
  epoll_ctl(Epoll_, EPOLL_CTL_MOD, C.Socket_, &Event);
}

void Client::Impl::read(ConnectionId Id) {
  std::array<char, ReadChunkBytes> Chunk;
  ssize_t Count = 0;
  do {
    Count = ::recv(Connections_.at(Id).Socket_, Chunk.data(), Chunk.size(), 0);
    if (Count < 0 && errno == EINTR)
      continue;
    if (!takeIn(Id, Count, Chunk.data()))
      return;
    // A partly filled chunk means that nothing more has arrived.
  } while (Count == static_cast<ssize_t>(Chunk.size()));
}

bool Client::Impl::takeIn(ConnectionId Id, ssize_t Count, const char *Data) {
  Connection &C = Connections_.at(Id);
  if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return false;
  if (!C.Transfer_) {
    // Idle: the host closed the connection or sends what nobody asked for.
    Host &H = Hosts_[C.Host_];
    std::erase(H.Idle_, Id);
    --IdleConnections_;
    close(Id);
    return false;
  }
  if (Count < 0) {
    fail(Id);
    return false;
  }
  TransferredBytes_ += static_cast<std::uint64_t>(Count);
  const auto State =
      Count == 0 ? C.Parser_->finish()
                 : C.Parser_->feed({Data, static_cast<std::size_t>(Count)});
  switch (State) {
  case ResponseParser::State::Incomplete:
    return true;
  case ResponseParser::State::Complete:
    complete(Id);
    return false;
  case ResponseParser::State::Malformed:
    fail(Id);
    return false;
  }
  return false;
}

void Client::Impl::complete(ConnectionId Id) {
  Connection &C = Connections_.at(Id);
  const TransferPtr T = std::exchange(C.Transfer_, nullptr);
  T->Reply_.Status_ = C.Parser_->status();
  T->Reply_.Body_ = std::move(C.Parser_->body());
  T->Reply_.Headers_ = std::move(C.Parser_->headers());
  const bool Keep = !T->Call_.NewConnection_ && C.Parser_->keepsAlive() &&
                    C.Written_ == T->Request_.size() &&
                    IdleConnections_ < MaxIdleConnections;
  const std::string HostName = C.Host_;
  if (Keep) {
    C.Reused_ = true;
    Hosts_[HostName].Idle_.push_back(Id);
    ++IdleConnections_;
  } else {
    close(Id);
  }
  serveWaiting(HostName);
  finish(T, Delivery::Answered);
}

void Client::Impl::fail(ConnectionId Id) {
  Connection &C = Connections_.at(Id);
  const TransferPtr T = std::exchange(C.Transfer_, nullptr);
  const std::string HostName = C.Host_;
  // The host may have closed a reused connection before it read the request.
  const bool Again = C.Reused_ && !C.Parser_->started();
  close(Id);
  T->Connection_.reset();
  if (Again) {
    // Other idle connections are as old.
    closeIdle(HostName);
    return assign(T);
  }
  serveWaiting(HostName);
  finish(T, T->Reply_.Sent_ == 0 ? Delivery::NeverSent : Delivery::Lost);
}

void Client::Impl::close(ConnectionId Id) {
  const auto It = Connections_.find(Id);
  ::close(It->second.Socket_);
  --Hosts_[It->second.Host_].Open_;
  Connections_.erase(It);
}

void Client::Impl::closeIdle(const std::string &HostName) {
  for (const ConnectionId Id : std::exchange(Hosts_[HostName].Idle_, {})) {
    --IdleConnections_;
    close(Id);
  }
}

void Client::Impl::serveWaiting(const std::string &HostName) {
  Host &H = Hosts_[HostName];
  if (H.Waiting_.empty()) {
    if (H.Open_ == 0)
      Hosts_.erase(HostName);
    return;
  }
  const TransferPtr Next = std::move(H.Waiting_.front());
  H.Waiting_.pop_front();
  assign(Next);
}

void Client::Impl::finish(const TransferPtr &T, Delivery D) {
  T->Reply_.Delivery_ = D;
  T->Reply_.Elapsed_ =
      std::chrono::duration_cast<Micros>(SteadyClock::now() - T->StartedAt_);
  --InFlight_;
  // The deadline's entry expires with the transfer.
  const Client::Done Callback = std::exchange(T->Done_, nullptr);
  Callback(T->Reply_);
}

void Client::Impl::finishLater(const TransferPtr &T, Delivery D) {
  QMetaObject::invokeMethod(
      this,
      [this, T, D] {
        if (T->Done_)
          finish(T, D);
      },
      Qt::QueuedConnection);
}

void Client::Impl::startTimer() {
  if (Deadlines_.empty())
    return;
  const auto Next = Deadlines_.begin()->first;
  if (Timer_.isActive() && TimerDue_ <= Next)
    return;
  TimerDue_ = Next;
  const auto Left = std::chrono::ceil<Millis>(Next - SteadyClock::now());
  Timer_.start(std::max(Millis(0), Left));
}

void Client::Impl::expire() {
  const auto Now = SteadyClock::now();
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    const TransferPtr T = Deadlines_.begin()->second.lock();
    Deadlines_.erase(Deadlines_.begin());
    if (!T || !T->Done_)
      continue;
    const std::string HostName = T->Host_;
    if (T->Connection_) {
      // Other idle connections to a host that doesn't answer may be dead, too.
      if (Connections_.at(*T->Connection_).Reused_)
        closeIdle(HostName);
      Connections_.at(*T->Connection_).Transfer_.reset();
      close(*T->Connection_);
    } else {
      std::erase(Hosts_[HostName].Waiting_, T);
    }
    serveWaiting(HostName);
    finish(T, T->Reply_.Sent_ == 0 ? Delivery::NeverSent : Delivery::Lost);
  }
  startTimer();
}

Client::Client(long MaxPerHost)
    : Impl_(std::make_unique<Impl>(static_cast<std::size_t>(MaxPerHost))) {}
Client::~Client() = default;
void Client::send(Call C, Done OnDone) {
  Impl_->start(std::move(C), std::move(OnDone));
}
std::size_t Client::inFlight() const { return Impl_->inFlight(); }
std::uint64_t Client::transferredBytes() const {
  return Impl_->transferredBytes();
}

} // namespace heathercross::http
