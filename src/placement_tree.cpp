#include "placement_tree_p.hpp"

#include <algorithm>
#include <tuple>

namespace carobcourse
{

bool placement_tree::less(const node_array& nodes, worker_handle a,
                          worker_handle b)
{
    const auto& x = nodes[a].free;
    const auto& y = nodes[b].free;
    return std::tie(x.cpu_millis, x.memory_mb, a) <
           std::tie(y.cpu_millis, y.memory_mb, b);
}

void placement_tree::refresh(node_array& nodes, worker_handle handle)
{
    auto& n = nodes[handle];
    n.max_memory = n.free.memory_mb;
    n.max_accelerators = n.free.accelerators;
    for (const auto child : {n.left, n.right})
    {
        if (child == no_worker)
            continue;
        n.max_memory = std::max(n.max_memory, nodes[child].max_memory);
        n.max_accelerators =
            std::max(n.max_accelerators, nodes[child].max_accelerators);
    }
}

worker_handle placement_tree::merge(node_array& nodes, worker_handle a,
                                    worker_handle b)
{
    if (a == no_worker)
        return b;
    if (b == no_worker)
        return a;
    if (nodes[a].priority > nodes[b].priority)
    {
        nodes[a].right = merge(nodes, nodes[a].right, b);
        refresh(nodes, a);
        return a;
    }
    nodes[b].left = merge(nodes, a, nodes[b].left);
    refresh(nodes, b);
    return b;
}

void placement_tree::split(node_array& nodes, worker_handle root,
                           worker_handle key, worker_handle& below,
                           worker_handle& above)
{
    if (root == no_worker)
    {
        below = above = no_worker;
        return;
    }
    worker_handle inner = no_worker;
    if (less(nodes, root, key))
    {
        split(nodes, nodes[root].right, key, inner, above);
        nodes[root].right = inner;
        below = root;
    }
    else
    {
        split(nodes, nodes[root].left, key, below, inner);
        nodes[root].left = inner;
        above = root;
    }
    refresh(nodes, root);
}

void placement_tree::insert(node_array& nodes, worker_handle handle)
{
    auto& n = nodes[handle];
    n.left = n.right = no_worker;
    // Finalizer of splitmix64: neighbouring handles get unrelated priorities.
    std::uint64_t hash = handle + 0x9e3779b97f4a7c15ULL;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    n.priority = static_cast<std::uint32_t>(hash >> 32);
    refresh(nodes, handle);
    worker_handle* link = &root_;
    while (*link != no_worker && nodes[*link].priority >= n.priority)
    {
        auto& above = nodes[*link];
        above.max_memory = std::max(above.max_memory, n.free.memory_mb);
        above.max_accelerators =
            std::max(above.max_accelerators, n.free.accelerators);
        link = less(nodes, *link, handle) ? &above.right : &above.left;
    }
    const auto below = *link;
    split(nodes, below, handle, n.left, n.right);
    refresh(nodes, handle);
    *link = handle;
}

void placement_tree::erase(node_array& nodes, worker_handle handle)
{
    // Depth is about 3 log2(n); 256 is past any reachable depth.
    worker_handle path[256];
    std::size_t depth = 0;
    worker_handle* link = &root_;
    while (*link != handle)
    {
        path[depth++] = *link;
        auto& above = nodes[*link];
        link = less(nodes, *link, handle) ? &above.right : &above.left;
    }
    *link = merge(nodes, nodes[handle].left, nodes[handle].right);
    while (depth > 0)
        refresh(nodes, path[--depth]);
}

worker_handle placement_tree::first_fit(const node_array& nodes,
                                        worker_handle root,
                                        const resources& amount)
{
    if (root == no_worker || !may_fit(nodes[root], amount))
        return no_worker;
    if (nodes[root].free.cpu_millis >= amount.cpu_millis)
    {
        const auto found = first_fit(nodes, nodes[root].left, amount);
        if (found != no_worker)
            return found;
        if (amount.fits_in(nodes[root].free))
            return root;
    }
    return first_fit(nodes, nodes[root].right, amount);
}

} // namespace carobcourse
