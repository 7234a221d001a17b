// An asynchronous HTTP client: libcurl's multi interface driven by Qt's event
// loop.
#include "http/http-client.h"

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <ranges>
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

/// A call in progress.
struct Transfer {
  Call Call_;
  Client::Done Done_;
  Reply Reply_;
  curl_slist *Headers_ = nullptr;
};

/// Reports to the event loop when a socket is readable or writable.
struct SocketNotifiers {
  std::unique_ptr<QSocketNotifier> Read_;
  std::unique_ptr<QSocketNotifier> Write_;
};

/// Write callback of libcurl. Aborts the transfer when the body exceeds its
/// limit.
std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *User) {
  auto *T = static_cast<Transfer *>(User);
  const std::size_t Length = Size * Count;
  const auto Received = static_cast<std::uint64_t>(T->Reply_.Body_.size());
  if (Received + Length > T->Call_.MaxResponseBody_.Count_)
    return 0;
  T->Reply_.Body_.append(Data, static_cast<qsizetype>(Length));
  return Length;
}

/// Header callback of libcurl, called once for each header line.
std::size_t appendHeader(char *Data, std::size_t Size, std::size_t Count,
                         void *User) {
  auto *T = static_cast<Transfer *>(User);
  const std::size_t Length = Size * Count;
  std::string_view Line(Data, Length);
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return Length;
  std::string_view Value = Line.substr(Colon + 1);
  const auto First = Value.find_first_not_of(" \t");
  const auto Last = Value.find_last_not_of(" \t\r\n");
  Value = First == std::string_view::npos
              ? std::string_view()
              : Value.substr(First, Last - First + 1);
  T->Reply_.Headers_.emplace_back(Line.substr(0, Colon), Value);
  return Length;
}

/// Pre-request callback of libcurl: a connection is established and the request
/// is about to be sent. The error code of a transfer can't tell this, because
/// libcurl may resend a request of a reused connection and then fail to
/// connect.
int recordRequestStart(void *User, char *, char *, int, int) {
  ++static_cast<Transfer *>(User)->Reply_.Sent_;
  return CURL_PREREQFUNC_OK;
}

/// Discards a result: libcurl reports failed transfers as messages.
void ignoreResult(CURLMcode) {}

} // namespace

class Client::Impl : public QObject {
public:
  explicit Impl(long MaxPerHost);
  ~Impl() override;

  void start(Call C, Done OnDone);
  std::size_t inFlight() const { return Transfers_.size(); }
  std::uint64_t transferredBytes() const { return TransferredBytes_; }

private:
  CURL *acquireHandle();
  void setOptions(CURL *Easy, Transfer &T);
  void processSocket(curl_socket_t Socket, int Flags);
  void finishCompleted();
  void scheduleFinishCompleted();
  void finish(CURL *Easy, CURLcode Code);
  void updateNotifiers(curl_socket_t Socket, int Events);

  static int onSocket(CURL *, curl_socket_t Socket, int Events, void *User,
                      void *);
  static int onTimer(CURLM *, long Ms, void *User);

  CURLM *Multi_;
  QTimer Timer_;
  std::unordered_map<curl_socket_t, SocketNotifiers> Notifiers_;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  std::vector<CURL *> IdleHandles_;
  std::uint64_t TransferredBytes_ = 0;
  bool FinishScheduled_ = false;
};

Client::Impl::Impl(long MaxPerHost) : Multi_(curl_multi_init()) {
  if (!Multi_)
    raise(ClientSetupFailed());
  constexpr long MaxCachedConnections = 1024;
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, MaxCachedConnections);
  curl_multi_setopt(Multi_, CURLMOPT_MAX_HOST_CONNECTIONS, MaxPerHost);
  Timer_.setSingleShot(true);
  Timer_.setTimerType(Qt::PreciseTimer);
  connect(&Timer_, &QTimer::timeout, this,
          [this] { processSocket(CURL_SOCKET_TIMEOUT, 0); });
}

Client::Impl::~Impl() {
  for (auto &[Easy, T] : Transfers_) {
    curl_multi_remove_handle(Multi_, Easy);
    curl_slist_free_all(T->Headers_);
    curl_easy_cleanup(Easy);
  }
  Transfers_.clear();
  std::ranges::for_each(IdleHandles_, curl_easy_cleanup);
  curl_multi_cleanup(Multi_);
}

CURL *Client::Impl::acquireHandle() {
  if (IdleHandles_.empty())
    return curl_easy_init();
  CURL *Easy = IdleHandles_.back();
  IdleHandles_.pop_back();
  curl_easy_reset(Easy);
  return Easy;
}

void Client::Impl::setOptions(CURL *Easy, Transfer &T) {
  const Call &C = T.Call_;
  for (const std::string &Line : C.Headers_)
    T.Headers_ = curl_slist_append(T.Headers_, Line.c_str());
  // An empty Expect header keeps libcurl from waiting for "100 Continue".
  T.Headers_ = curl_slist_append(T.Headers_, "Expect:");
  curl_easy_setopt(Easy, CURLOPT_URL, C.Url_.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, T.Headers_);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   std::max<long>(1, C.Timeout_.count()));
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &recordRequestStart);
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &T);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &T);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &appendHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &T);
  curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, C.NewConnection_ ? 1L : 0L);
  curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, C.NewConnection_ ? 1L : 0L);
  if (C.Method_ == "GET")
    return;
  curl_easy_setopt(Easy, CURLOPT_POST, 1L);
  curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(C.Body_.size()));
  curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, C.Body_.constData());
  if (C.Method_ != "POST")
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, C.Method_.c_str());
}

void Client::Impl::start(Call C, Done OnDone) {
  CURL *Easy = acquireHandle();
  auto T = std::make_unique<Transfer>();
  T->Call_ = std::move(C);
  T->Done_ = std::move(OnDone);
  setOptions(Easy, *T);
  Transfers_.emplace(Easy, std::move(T));
  ignoreResult(curl_multi_add_handle(Multi_, Easy));
  // Starts the transfer at once. One that has already ended is finished by the
  // event loop, so that its callback doesn't run inside send().
  int RunningTransfers = 0;
  ignoreResult(curl_multi_socket_action(Multi_, CURL_SOCKET_TIMEOUT, 0,
                                        &RunningTransfers));
  if (static_cast<std::size_t>(RunningTransfers) < Transfers_.size())
    scheduleFinishCompleted();
}

void Client::Impl::scheduleFinishCompleted() {
  if (std::exchange(FinishScheduled_, true))
    return;
  QMetaObject::invokeMethod(
      this,
      [this] {
        FinishScheduled_ = false;
        finishCompleted();
      },
      Qt::QueuedConnection);
}

int Client::Impl::onTimer(CURLM *, long Ms, void *User) {
  auto *Self = static_cast<Impl *>(User);
  if (Ms < 0)
    Self->Timer_.stop();
  else
    Self->Timer_.start(static_cast<int>(Ms));
  return 0;
}

int Client::Impl::onSocket(CURL *, curl_socket_t Socket, int Events, void *User,
                           void *) {
  static_cast<Impl *>(User)->updateNotifiers(Socket, Events);
  return 0;
}

void Client::Impl::updateNotifiers(curl_socket_t Socket, int Events) {
  // libcurl unregisters the socket of a connection after each request and
  // registers it again for the next one. The notifiers are kept and disabled:
  // destroying them would cost an event and a write per request.
  if (Events == CURL_POLL_REMOVE)
    Events = CURL_POLL_NONE;
  SocketNotifiers &Notifiers = Notifiers_[Socket];
  const auto Update = [&](std::unique_ptr<QSocketNotifier> &Notifier,
                          QSocketNotifier::Type Type, int Flag, bool Enabled) {
    if (!Notifier && Enabled) {
      Notifier = std::make_unique<QSocketNotifier>(Socket, Type);
      connect(Notifier.get(), &QSocketNotifier::activated, this,
              [this, Socket, Flag] { processSocket(Socket, Flag); });
    }
    if (Notifier)
      Notifier->setEnabled(Enabled);
  };
  Update(Notifiers.Read_, QSocketNotifier::Read, CURL_CSELECT_IN,
         (Events & CURL_POLL_IN) != 0);
  Update(Notifiers.Write_, QSocketNotifier::Write, CURL_CSELECT_OUT,
         (Events & CURL_POLL_OUT) != 0);
}

void Client::Impl::processSocket(curl_socket_t Socket, int Flags) {
  int RunningTransfers = 0;
  ignoreResult(
      curl_multi_socket_action(Multi_, Socket, Flags, &RunningTransfers));
  finishCompleted();
}

void Client::Impl::finishCompleted() {
  int MessagesLeft = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi_, &MessagesLeft))
    if (Message->msg == CURLMSG_DONE)
      finish(Message->easy_handle, Message->data.result);
}

void Client::Impl::finish(CURL *Easy, CURLcode Code) {
  auto Entry = Transfers_.extract(Easy);
  if (Entry.empty())
    return;
  std::unique_ptr<Transfer> T = std::move(Entry.mapped());
  curl_off_t ElapsedUs = 0;
  long HeaderBytes = 0;
  long RequestBytes = 0;
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_TOTAL_TIME_T, &ElapsedUs);
  curl_easy_getinfo(Easy, CURLINFO_HEADER_SIZE, &HeaderBytes);
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &RequestBytes);
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  TransferredBytes_ += static_cast<std::uint64_t>(HeaderBytes + RequestBytes) +
                       static_cast<std::uint64_t>(T->Reply_.Body_.size() +
                                                  T->Call_.Body_.size());
  T->Reply_.Elapsed_ = Micros(ElapsedUs);
  T->Reply_.Status_ = static_cast<int>(Status);
  if (Code == CURLE_OK)
    T->Reply_.Delivery_ = Delivery::Answered;
  else if (T->Reply_.Sent_ == 0)
    T->Reply_.Delivery_ = Delivery::NeverSent;
  curl_multi_remove_handle(Multi_, Easy);
  curl_slist_free_all(T->Headers_);
  IdleHandles_.push_back(Easy);
  T->Done_(T->Reply_);
}

Client::Client(long MaxPerHost) : Impl_(std::make_unique<Impl>(MaxPerHost)) {}
Client::~Client() = default;
void Client::send(Call C, Done OnDone) {
  Impl_->start(std::move(C), std::move(OnDone));
}
std::size_t Client::inFlight() const { return Impl_->inFlight(); }
std::uint64_t Client::transferredBytes() const {
  return Impl_->transferredBytes();
}

} // namespace heathercross::http
