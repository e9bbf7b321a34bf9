// The part of cell_host that keeps the list of hosts, their shared secret and
// the links between them.
#include "cell_host_p.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

#include "cell_limits_p.hpp"

namespace carobcourse
{

namespace
{

using json = nlohmann::json;

constexpr char secret_key[] = "secret";
constexpr std::size_t secret_bytes = 32;
/// A host whose link was silent is removed from the peers for this time, which
/// closes the link, and then dialled again.
constexpr auto redial_delay = std::chrono::milliseconds(40);

} // namespace

void cell_host::fetch_secret(time_point now)
{
    if (has_secret_ || secret_op_ || now < next_secret_read_at_)
        return;
    next_secret_read_at_ = now + config::cell_store_retry_delay;
    const auto op = context_.next_op_id();
    secret_op_ = op;
    context_.effects.emplace_back(
        store_read{op, cell_table::owner, secret_key});
}

void cell_host::on_secret_result(time_point now, const store_result& result)
{
    if (result.status == store_status::conflict)
    {
        // Another host has created the secret in the meantime: read it.
        next_secret_read_at_ = now;
        return;
    }
    if (result.status != store_status::ok)
        return;
    if (!result.versions.empty())
    {
        // The commit of the secret has succeeded: read it back.
        next_secret_read_at_ = now;
        fetch_secret(now);
        return;
    }
    if (!result.rows.empty())
    {
        has_secret_ = true;
        context_.effects.emplace_back(
            set_link_secret{result.rows.front().value});
        update_peers(now);
        return;
    }
    const auto op = context_.next_op_id();
    secret_op_ = op;
    store_commit commit;
    commit.op = op;
    commit.writes.push_back({cell_table::owner, secret_key, std::uint64_t{0},
                             context_.entropy.hex(secret_bytes)});
    context_.effects.emplace_back(std::move(commit));
}

void cell_host::update_membership(time_point now)
{
    if (member_op_ || now < next_member_op_at_)
        return;
    next_member_op_at_ = now + config::cell_member_poll_interval;
    if (!registered_)
    {
        store_commit commit;
        commit.op = context_.next_op_id();
        member_op_ = commit.op;
        commit.writes.push_back(
            {cell_table::member, context_.identity.host, std::nullopt,
             json{{"address", context_.identity.peer_address},
                  {"data_centre", context_.identity.data_centre},
                  {"incarnation", context_.identity.incarnation}}
                 .dump()});
        context_.effects.emplace_back(std::move(commit));
        return;
    }
    if (!owner_)
        return;
    member_scan_epoch_ = election_.epoch();
    member_op_ = context_.request_scan(cell_table::member);
}

void cell_host::on_member_result(time_point now, const store_result& result)
{
    if (result.status != store_status::ok)
    {
        next_member_op_at_ = now + config::cell_store_retry_delay;
        return;
    }
    if (!registered_)
    {
        registered_ = true;
        next_member_op_at_ = now;
        context_.log(log_code::member_registered,
                     context_.identity.incarnation);
        return;
    }
    std::set<std::string> listed_hosts;
    for (const auto& row : result.rows)
    {
        const auto value = json::parse(row.value, nullptr, false);
        if (row.key == context_.identity.host)
            continue;
        const auto text_of = [&value](const char* name)
        {
            const auto found = value.find(name);
            return found != value.end() && found->is_string()
                       ? found->get<std::string>()
                       : std::string();
        };
        const auto address = text_of("address");
        if (address.empty())
        {
            context_.log(log_code::cell_row_unreadable,
                         fmt::format("member={}", row.key));
            continue;
        }
        listed_hosts.insert(row.key);
        auto& member = members_[row.key];
        member.address = address;
        member.data_centre = text_of("data_centre");
    }
    for (auto at = members_.begin(); at != members_.end();)
        at = listed_hosts.count(at->first) ? std::next(at) : members_.erase(at);
    has_read_members_ = member_scan_epoch_ == election_.epoch();
    update_peers(now);
}

void cell_host::update_peers(time_point now)
{
    if (!has_secret_)
        return;
    std::vector<peer_address> new_peers;
    if (owner_)
    {
        for (auto& [host, member] : members_)
        {
            const bool is_silent =
                member.connected &&
                last_handled_at_ >
                    std::max(member.last_ack_at, member.connected_at) +
                        config::cell_link_timeout;
            if (is_silent)
            {
                member.redial_at = now + redial_delay;
                member.connected = false;
            }
            if (now >= member.redial_at)
                new_peers.push_back({host, member.address});
        }
    }
    else if (!election_.owner().empty() &&
             election_.owner() != context_.identity.host)
    {
        const auto& owner = election_.owner();
        if (connected_hosts_.count(owner) &&
            last_handled_at_ >
                std::max(last_ack_confirmed_at_, owner_connected_at_) +
                    config::cell_link_timeout)
        {
            owner_redial_at_ = now + redial_delay;
            connected_hosts_.erase(owner);
        }
        if (now >= owner_redial_at_)
            new_peers.push_back({owner, election_.owner_address()});
    }
    const auto is_unchanged = std::equal(
        new_peers.begin(), new_peers.end(), peers_.begin(), peers_.end(),
        [](const peer_address& a, const peer_address& b)
        { return a.host == b.host && a.address == b.address; });
    if (is_unchanged)
        return;
    peers_ = new_peers;
    context_.effects.emplace_back(set_peers{std::move(new_peers)});
}

} // namespace carobcourse
