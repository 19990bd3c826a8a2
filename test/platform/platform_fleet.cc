#include "platform/platform_fleet.h"

#include <cppunit/TestAssert.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <utility>

#include "common/json.h"
#include "e2e/free_address.h"
#include "http/http_client.h"
#include "platform/heartbeat.h"

namespace pumicedyke::platform {
namespace {

constexpr char kHost[] = "desk.example";

std::string PortOf(const std::string& address) { return address.substr(address.rfind(':') + 1); }

std::string HostOf(int index) { return "127.0.0." + std::to_string(index + 1); }

std::string Value(const http::Headers& headers, const std::string& name) {
  const std::string* value = http::FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

// ---- FakeLeaf -----------------------------------------------------------------------------------

FakeLeaf::FakeLeaf(std::string id, std::string service, ArrivalLog* arrivals)
    : id_(std::move(id)), service_(std::move(service)), arrivals_(arrivals) {
  std::atomic<bool> listening{false};
  thread_ = std::thread([this, &listening] {
    net::EventLoop loop;
    http::HttpServer server(&loop, {},
                            [this](const http::HttpRequest& request, http::Responder responder) {
                              OnRequest(request, std::move(responder));
                            });
    CPPUNIT_ASSERT(server.Listen("127.0.0.1:0").ok());
    port_ = server.port();
    listening = true;
    loop.Run([this, &loop](Timestamp now) {
      if (!hold_) {
        AnswerHeld();
      }
      if (stop_) {
        loop.Stop();
      }
      return now + Milliseconds(10);
    });
    held_.clear();
  });
  e2e::WaitFor("a leaf to listen", [&] { return listening.load(); });
}

FakeLeaf::~FakeLeaf() {
  stop_ = true;
  thread_.join();
}

bool FakeLeaf::Refuses() {
  constexpr int kRunsOneOf = 10;
  return shed_ || (refuse_most_ && ++offered_ % kRunsOneOf != 0);
}

void FakeLeaf::OnRequest(const http::HttpRequest& request, http::Responder responder) {
  {
    const std::lock_guard lock(mutex_);
    last_headers_ = request.headers;
  }
  http::HttpResponse response;
  const std::string request_id = Value(request.headers, "X-Request-Id");
  if (arrivals_ != nullptr) {
    arrivals_->OnArrival(service_, request_id);
  }
  response.headers = {{"X-Instance-Id", id_}, {"X-Request-Id", request_id}};
  if (Value(request.headers, "X-Expect-Instance") != id_) {
    response.status = 421;
    responder.Send(std::move(response));
    return;
  }
  if (Refuses()) {
    response.status = 503;
    response.headers.push_back({"X-Not-Executed", "1"});
    if (refuse_most_) {
      response.headers.push_back({"X-Server-Load", "0,0,2"});
    }
    responder.Send(std::move(response));
    return;
  }
  ++runs_;
  if (hold_) {
    responder.WatchClient([this] { ++cancelled_runs_; });
    ++held_count_;
    held_.push_back({request_id, std::move(responder)});
    return;
  }
  Answer(request_id, std::move(responder));
}

void FakeLeaf::AnswerHeld() {
  for (HeldRequest& request : std::exchange(held_, {})) {
    Answer(request.request_id, std::move(request.responder));
  }
}

void FakeLeaf::Answer(const std::string& request_id, http::Responder responder) {
  http::HttpResponse response;
  response.status = fail_ ? 500 : 200;
  response.headers = {{"X-Instance-Id", id_}, {"X-Request-Id", request_id}};
  response.headers.push_back({"X-Server-Stamp", id_ + "." + request_id});
  response.headers.push_back({"X-Server-Load", "1,0,2"});
  constexpr size_t kRecordBytes = 16;
  response.body = (id_ + "................").substr(0, kRecordBytes);
  responder.Send(std::move(response));
}

int FakeLeaf::SendHeartbeat(const std::string& control, bool draining) {
  return PostHeartbeat(control,
                       {id_, service_, address(), ++sequence_, draining ? "draining" : "ready"});
}

int ControlIndex(const std::string& process) { return std::stoi(process.substr(1)); }

// ---- PlatformFleet ------------------------------------------------------------------------------

PlatformFleet::PlatformFleet(const PlatformFleetOptions& options)
    : options_(options),
      internal_port_(PortOf(e2e::FreeAddress())),
      service_port_(PortOf(e2e::FreeAddress())),
      directory_port_(PortOf(e2e::FreeAddress())),
      gateway_address_(e2e::FreeAddress()),
      ready_address_(e2e::FreeAddress()),
      metrics_address_(e2e::FreeAddress()),
      gateway_directory_address_(e2e::FreeAddress()),
      second_metrics_address_(e2e::FreeAddress()) {
  char path[] = "/tmp/pumicedyke-platform-XXXXXX";
  CPPUNIT_ASSERT(::mkdtemp(path) != nullptr);
  folder_ = path;
  for (int i = 0; i < options_.controls; ++i) {
    StartControl(i, /*bootstrap=*/true);
  }
  StartGateway();
}

PlatformFleet::~PlatformFleet() {
  processes.clear();
  e2e::RemoveUnlessFailing(folder_);
}

std::string PlatformFleet::ServiceAddress(int index) const {
  return HostOf(index) + ":" + service_port_;
}

std::string PlatformFleet::DirectoryAddress(int index) const {
  return HostOf(index) + ":" + directory_port_;
}

std::string PlatformFleet::InternalAddress(int index) const {
  return HostOf(index) + ":" + internal_port_;
}

std::string PlatformFleet::OperatorAddress(int index) const {
  return processes.at("c" + std::to_string(index))->Address("operator");
}

void PlatformFleet::StartControl(int index, bool bootstrap) {
  const std::string name = "c" + std::to_string(index);
  const std::string file = folder_ + "/" + name + ".toml";
  std::ofstream settings(file);
  settings << "cluster = \"test\"\nregions = [\"north=r\"]\nmachine = \"" << HostOf(index)
           << "\"\nlisten = \"" << HostOf(index) << ":" << internal_port_
           << "\"\noperator_listen = \"127.0.0.1:0\"\n"
           << "service_listen = \"" << ServiceAddress(index) << "\"\ndirectory_listen = \""
           << DirectoryAddress(index) << "\"\ndata_folder = \"" << DataFolder(index)
           << "\"\nseeds = [\"" << ServiceAddress(0) << "\", \"" << ServiceAddress(1) << "\", \""
           << ServiceAddress(2) << "\"]\ninternal_port = " << internal_port_
           << "\nbootstrap = " << (bootstrap ? "true" : "false")
           << "\ntolerated_failures = " << options_.tolerated << "\nreplace_silent_after_ms = "
           << static_cast<int64_t>(ToMilliseconds(options_.replace_silent_after)) << "\n";
  settings.close();
  processes[name] = std::make_unique<e2e::Process>(
      name, "pumicedyke-control", std::vector<std::string>{"--settings", file}, folder_);
}

void PlatformFleet::StartGateway() {
  StartGatewayAt("gateway",
                 {gateway_address_, ready_address_, metrics_address_, gateway_directory_address_});
}

void PlatformFleet::StartSecondGateway() {
  StartGatewayAt("gateway2", {e2e::FreeAddress(), e2e::FreeAddress(), second_metrics_address_,
                              e2e::FreeAddress()});
}

std::string PlatformFleet::StartAdditionalGateway(const std::string& name) {
  std::string listen = e2e::FreeAddress();
  StartGatewayAt(name, {listen, e2e::FreeAddress(), e2e::FreeAddress(), e2e::FreeAddress()});
  return listen;
}

void PlatformFleet::RestartGateway(const std::string& name) {
  const GatewayAddresses addresses = gateways_.at(name);
  StartGatewayAt(name, addresses, /*first_start=*/false);
}

std::string PlatformFleet::DataFolder(int index) const {
  return folder_ + "/data-c" + std::to_string(index);
}

void PlatformFleet::StartGatewayAt(const std::string& process, const GatewayAddresses& addresses,
                                   bool first_start) {
  GatewayAddresses& known = gateways_[process];
  known = addresses;
  if (known.peer.empty()) {
    known.peer = e2e::FreeAddress();
  }
  const std::string file = folder_ + "/" + process + ".toml";
  std::ofstream settings(file);
  // The processor share is so small that even a few dozen shards are worth sharing.
  settings << "cluster = \"test\"\nnode = \"" << process << "\"\nzone = \"north\"\nlisten = \""
           << addresses.listen << "\"\nready_listen = \"" << addresses.ready
           << "\"\ndirectory_listen = \"" << addresses.directory << "\"\nmetrics_listen = \""
           << addresses.metrics << "\"\npeer_listen = \"" << known.peer
           << "\"\nprocessor_share = 0.001\nextra_load_allowance = "
           << options_.extra_load_allowance
           << "\nfirst_start = " << (first_start ? "true" : "false") << "\nseeds = [\""
           << ServiceAddress(0) << "\", \"" << ServiceAddress(1)
           << "\"]\ninternal_port = " << internal_port_
           << "\ndrain_grace_ms = " << options_.drain_grace / Milliseconds(1) << "\n";
  if (options_.kill_after.count() > 0) {
    settings << "kill_after_ms = " << options_.kill_after / Milliseconds(1) << "\n";
  }
  settings.close();
  processes[process] = std::make_unique<e2e::Process>(
      process, "pumicedyke-gateway", std::vector<std::string>{"--settings", file}, folder_);
}

int PlatformFleet::Put(const std::string& document) {
  int status = 0;
  e2e::WaitFor("the document to be answered", [&] {
    for (int i = 0; i < options_.controls && status != 200; ++i) {
      if (processes.at("c" + std::to_string(i))->running()) {
        status = e2e::Post(ServiceAddress(i), "/v1/config/put", document).status;
      }
    }
    constexpr int kFirstServerError = 500;
    return status > 0 && status < kFirstServerError;
  });
  return status;
}

void PlatformFleet::SendHeartbeats(const std::vector<FakeLeaf*>& leafs) {
  for (FakeLeaf* leaf : leafs) {
    e2e::WaitFor("a heartbeat to be accepted",
                 [&] { return leaf->SendHeartbeat(ServiceAddress(0)) == 200; });
  }
}

http::ClientResponse PlatformFleet::SendRequest(const std::string& path, int64_t deadline_ms) {
  return SendRequestTo(gateway_address_, path, {}, deadline_ms);
}

http::ClientResponse PlatformFleet::SendRequestTo(const std::string& gateway,
                                                  const std::string& path,
                                                  const http::Headers& headers,
                                                  int64_t deadline_ms) {
  http::ClientRequest request;
  request.address = gateway;
  request.path = path;
  request.method = "GET";
  request.headers = {{"Host", kHost},
                     {"X-Request-Id", "test-" + std::to_string(++request_count_)},
                     {"X-Deadline-Ms", std::to_string(deadline_ms)}};
  request.headers.insert(request.headers.end(), headers.begin(), headers.end());
  return http::FetchBlocking(request);
}

void PlatformFleet::WaitForVersion(uint64_t version) const {
  const std::string line =
      "\npumicedyke_gateway_document_version " + std::to_string(version) + "\n";
  e2e::WaitFor("version " + std::to_string(version), [&] {
    return e2e::Get(metrics_address_, "/metrics").body.find(line) != std::string::npos;
  });
}

void PlatformFleet::WaitUntilServed(const std::string& path) {
  e2e::WaitFor(path + " to be served", [&] { return SendRequest(path).status == 200; });
}

void PlatformFleet::WaitForAllShards(const std::string& path) {
  e2e::WaitFor(path + " to be served by all shards", [&] {
    const http::ClientResponse response = SendRequest(path);
    const std::string* missing = http::FindHeader(response.headers, "X-Missing-Parts");
    return response.status == 200 && missing != nullptr && *missing == "0";
  });
}

}  // namespace pumicedyke::platform
