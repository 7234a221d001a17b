// An HTTP client on libcurl's multi interface in Qt's event loop.
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
  const auto Same = [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  };
  const auto It = std::ranges::find_if(Headers_, [&](const auto &H) {
    return std::ranges::equal(H.first, Name, Same);
  });
  return It == Headers_.end() ? std::string_view() : It->second;
}

namespace {

/// One call on its way.
struct Transfer {
  Call Call_;
  Client::Done Done_;
  Reply Reply_;
  /// Bytes of the request may have left.
  bool Sending_ = false;
  curl_slist *Headers_ = nullptr;
};

/// The two notifiers of one socket.
struct Watch {
  std::unique_ptr<QSocketNotifier> Read_;
  std::unique_ptr<QSocketNotifier> Write_;
};

std::size_t takeBody(char *Data, std::size_t Size, std::size_t Count,
                     void *User) {
  auto *T = static_cast<Transfer *>(User);
  const std::size_t Length = Size * Count;
  const auto Have = static_cast<std::uint64_t>(T->Reply_.Body_.size());
  if (Have + Length > T->Call_.MaxAnswer_.Count_)
    return 0;
  T->Reply_.Body_.append(Data, static_cast<qsizetype>(Length));
  return Length;
}

std::size_t takeHeader(char *Data, std::size_t Size, std::size_t Count,
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

/// Notes that a connection stands and the request is about to leave. libcurl
/// may repeat a request that it sent on a kept-alive connection, and then fail
/// to connect: its last error doesn't tell what left before.
int noteSending(void *User, char *, char *, int, int) {
  static_cast<Transfer *>(User)->Sending_ = true;
  return CURL_PREREQFUNC_OK;
}

void ignoreResult(CURLMcode) {}

} // namespace

class Client::Impl : public QObject {
public:
  explicit Impl(long MaxPerHost);
  ~Impl() override;

  void start(Call C, Done OnDone);
  std::size_t inFlight() const { return Transfers_.size(); }
  std::uint64_t bytes() const { return Bytes_; }

private:
  CURL *takeHandle();
  void prepare(CURL *Easy, Transfer &T);
  void act(curl_socket_t Socket, int Flags);
  void collect();
  void collectSoon();
  void finish(CURL *Easy, CURLcode Code);
  void watch(curl_socket_t Socket, int What);

  static int onSocket(CURL *, curl_socket_t Socket, int What, void *User,
                      void *);
  static int onTimer(CURLM *, long Ms, void *User);

  CURLM *Multi_;
  QTimer Timer_;
  std::unordered_map<curl_socket_t, Watch> Watches_;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  std::vector<CURL *> Idle_;
  std::uint64_t Bytes_ = 0;
  bool CollectDue_ = false;
};

Client::Impl::Impl(long MaxPerHost) : Multi_(curl_multi_init()) {
  if (!Multi_)
    raise(ClientSetupFailed());
  constexpr long CachedConnections = 1024;
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, CachedConnections);
  curl_multi_setopt(Multi_, CURLMOPT_MAX_HOST_CONNECTIONS, MaxPerHost);
  Timer_.setSingleShot(true);
  Timer_.setTimerType(Qt::PreciseTimer);
  connect(&Timer_, &QTimer::timeout, this,
          [this] { act(CURL_SOCKET_TIMEOUT, 0); });
}

Client::Impl::~Impl() {
  for (auto &[Easy, T] : Transfers_) {
    curl_multi_remove_handle(Multi_, Easy);
    curl_slist_free_all(T->Headers_);
    curl_easy_cleanup(Easy);
  }
  Transfers_.clear();
  std::ranges::for_each(Idle_, curl_easy_cleanup);
  curl_multi_cleanup(Multi_);
}

CURL *Client::Impl::takeHandle() {
  if (Idle_.empty())
    return curl_easy_init();
  CURL *Easy = Idle_.back();
  Idle_.pop_back();
  curl_easy_reset(Easy);
  return Easy;
}

void Client::Impl::prepare(CURL *Easy, Transfer &T) {
  const Call &C = T.Call_;
  for (const std::string &Line : C.Headers_)
    T.Headers_ = curl_slist_append(T.Headers_, Line.c_str());
  T.Headers_ = curl_slist_append(T.Headers_, "Expect:");
  curl_easy_setopt(Easy, CURLOPT_URL, C.Url_.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, T.Headers_);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   std::max<long>(1, C.Timeout_.count()));
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &noteSending);
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &T);
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &takeBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &T);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &takeHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &T);
  curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, C.Fresh_ ? 1L : 0L);
  curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, C.Fresh_ ? 1L : 0L);
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
  CURL *Easy = takeHandle();
  auto T = std::make_unique<Transfer>();
  T->Call_ = std::move(C);
  T->Done_ = std::move(OnDone);
  prepare(Easy, *T);
  Transfers_.emplace(Easy, std::move(T));
  ignoreResult(curl_multi_add_handle(Multi_, Easy));
  // Begin at once; what ends already is collected by the event loop.
  int Running = 0;
  ignoreResult(
      curl_multi_socket_action(Multi_, CURL_SOCKET_TIMEOUT, 0, &Running));
  if (static_cast<std::size_t>(Running) < Transfers_.size())
    collectSoon();
}

void Client::Impl::collectSoon() {
  if (std::exchange(CollectDue_, true))
    return;
  QMetaObject::invokeMethod(
      this,
      [this] {
        CollectDue_ = false;
        collect();
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

int Client::Impl::onSocket(CURL *, curl_socket_t Socket, int What, void *User,
                           void *) {
  static_cast<Impl *>(User)->watch(Socket, What);
  return 0;
}

void Client::Impl::watch(curl_socket_t Socket, int What) {
  // libcurl forgets a connection's socket after each request and asks for it
  // again with the next one. The notifiers stay: to end them costs an event and
  // a write for each request.
  if (What == CURL_POLL_REMOVE)
    What = CURL_POLL_NONE;
  Watch &W = Watches_[Socket];
  const auto Set = [&](std::unique_ptr<QSocketNotifier> &N,
                       QSocketNotifier::Type Type, int Flag, bool On) {
    if (!N && On) {
      N = std::make_unique<QSocketNotifier>(Socket, Type);
      connect(N.get(), &QSocketNotifier::activated, this,
              [this, Socket, Flag] { act(Socket, Flag); });
    }
    if (N)
      N->setEnabled(On);
  };
  Set(W.Read_, QSocketNotifier::Read, CURL_CSELECT_IN,
      (What & CURL_POLL_IN) != 0);
  Set(W.Write_, QSocketNotifier::Write, CURL_CSELECT_OUT,
      (What & CURL_POLL_OUT) != 0);
}

void Client::Impl::act(curl_socket_t Socket, int Flags) {
  int Running = 0;
  ignoreResult(curl_multi_socket_action(Multi_, Socket, Flags, &Running));
  collect();
}

void Client::Impl::collect() {
  int Left = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi_, &Left))
    if (Message->msg == CURLMSG_DONE)
      finish(Message->easy_handle, Message->data.result);
}

void Client::Impl::finish(CURL *Easy, CURLcode Code) {
  auto Node = Transfers_.extract(Easy);
  if (Node.empty())
    return;
  std::unique_ptr<Transfer> T = std::move(Node.mapped());
  curl_off_t TookUs = 0;
  long HeaderBytes = 0;
  long RequestBytes = 0;
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_TOTAL_TIME_T, &TookUs);
  curl_easy_getinfo(Easy, CURLINFO_HEADER_SIZE, &HeaderBytes);
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &RequestBytes);
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  Bytes_ += static_cast<std::uint64_t>(HeaderBytes + RequestBytes) +
            static_cast<std::uint64_t>(T->Reply_.Body_.size() +
                                       T->Call_.Body_.size());
  T->Reply_.Took_ = Micros(TookUs);
  T->Reply_.Status_ = static_cast<int>(Status);
  if (Code == CURLE_OK)
    T->Reply_.Delivery_ = Delivery::Answered;
  else if (!T->Sending_)
    T->Reply_.Delivery_ = Delivery::NeverSent;
  curl_multi_remove_handle(Multi_, Easy);
  curl_slist_free_all(T->Headers_);
  Idle_.push_back(Easy);
  T->Done_(T->Reply_);
}

Client::Client(long MaxPerHost) : Impl_(std::make_unique<Impl>(MaxPerHost)) {}
Client::~Client() = default;
void Client::send(Call C, Done OnDone) {
  Impl_->start(std::move(C), std::move(OnDone));
}
std::size_t Client::inFlight() const { return Impl_->inFlight(); }
std::uint64_t Client::bytes() const { return Impl_->bytes(); }

} // namespace heathercross::http
